// Package fleet runs many instances in one process over real sockets and
// measures the CPU time, memory and traffic that each uses for control while no
// caller sends requests.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/config"
	"knapweedwell/instance"
	"knapweedwell/invariant"
	"knapweedwell/revision"
	"knapweedwell/setting"
	"knapweedwell/standin/platform"
)

const (
	anyPort       = "127.0.0.1:0"
	headerTimeout = 5 * time.Second
	settleTime    = 12 * time.Second // wait between the start and the measurement
	applyTimeout  = 30 * time.Second
	pollPeriod    = 20 * time.Millisecond
	timedChanges  = 5 // configuration changes of which the cost is averaged
	zones         = 7
	regions       = 2
	models        = 4
	tiers         = 7
	shardSize     = 3 // upstreams per shard
)

// Size holds the numbers of organisations and upstreams of a configuration.
type Size struct {
	Organisations int
	Upstreams     int
}

// ConfigurationText returns a configuration of size s with seven tiers, four
// models and two regions. The addresses of all upstreams refuse connections.
// Texts of different variants differ in one line of each class, the queue
// time-out.
func ConfigurationText(s Size, variant int) string {
	var b strings.Builder
	for i := range regions {
		fmt.Fprintf(&b, "[Region Region-%d]\n\n", i)
	}
	for i := range tiers {
		fmt.Fprintf(&b, "[Tier Tier-%d]\nRank = %d\nPreempts = %t\n\n", i, i+1, i < 3)
		fmt.Fprintf(&b, "[Class Class-%d]\nTier = Tier-%d\nFirstToken = 1400ms\nBetweenToken = 62ms\nQueueTimeout = %ds\n\n", i, i, 30+variant)
	}
	for i := range s.Organisations {
		key := config.HashKey(fmt.Sprintf("key-%d", i))
		fmt.Fprintf(&b, "[Organisation Organisation-%d]\nKeySHA256 = %s\nDefaultClass = Class-%d\nWeight = %d\n\n", i, key, i%tiers, 1+i%5)
	}
	for i := range models {
		fmt.Fprintf(&b, "[Model Model-%d]\nShardUpstreams = %d\n\n", i, shardSize)
	}
	for i := range s.Upstreams {
		fmt.Fprintf(&b, "[Upstream Upstream-%d]\nModel = Model-%d\nAddress = 127.%d.%d.1:1\nRegion = Region-%d\nZone = Zone-%d\nConcurrency = 8\n\n",
			i, i%models, 1+i/250, i%250, i/models%regions, i/models%zones)
	}
	return b.String()
}

// Fleet is a set of instances in this process and the platform that they use.
type Fleet struct {
	platform  *platform.Server
	server    *http.Server
	Instances []*instance.Instance
}

// Start starts n instances and returns when a configuration of size s is in
// force on all of them. The caller closes the fleet.
func Start(n int, s Size) (*Fleet, error) {
	f := &Fleet{platform: platform.New()}
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	f.server = &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = f.server.Serve(l) }()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var seeds []string
	for i := range n {
		in := newInstance(i, l.Addr().String(), seeds, log)
		if err := in.Run(); err != nil {
			f.Close()
			return nil, err
		}
		if len(seeds) < 2 {
			seeds = append(seeds, in.Peers.Address)
		}
		f.Instances = append(f.Instances, in)
	}
	if _, err := f.ApplyVariant(s, 0); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// newInstance returns the i-th instance, which uses the platform at an address.
func newInstance(i int, platformAddress string, seeds []string, log logrus.FieldLogger) *instance.Instance {
	return &instance.Instance{
		Settings: &setting.Settings{
			Name: fmt.Sprintf("entry-%d", i), Region: fmt.Sprintf("Region-%d", i%regions), Zone: fmt.Sprintf("Zone-%d", i%zones),
			Caller: anyPort, Peer: anyPort, Operator: anyPort, Platform: platformAddress, Seeds: seeds,
			MaxBodyBytes: 1 << 20, MaxRequests: 1000, Policy: "tiered",
		},
		Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log, Check: &invariant.Checker{},
	}
}

// Close closes all instances and the platform.
func (f *Fleet) Close() {
	for _, in := range f.Instances {
		_ = in.Close()
	}
	_ = f.server.Close()
}

// ApplyVariant applies a variant of the configuration of size s and returns the
// time until it is in force on all instances. It returns an error if that takes
// longer than applyTimeout.
func (f *Fleet) ApplyVariant(s Size, variant int) (time.Duration, error) {
	start := time.Now()
	res, err := f.Instances[0].Revisions.Apply(context.Background(), revision.Change{Base: -1, Author: "fleet", Text: ConfigurationText(s, variant)})
	if err != nil {
		return 0, err
	}
	if res.Outcome != revision.Applied {
		return 0, errors.Errorf("apply configuration: expected outcome %q, got %q: %s", revision.Applied, res.Outcome, res.Reason)
	}
	for time.Since(start) < applyTimeout {
		behind := 0
		for _, in := range f.Instances {
			if in.Revisions.Revision() < res.Revision {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start), nil
		}
		time.Sleep(pollPeriod)
	}
	return 0, errors.Errorf("revision %d is not in force on all instances after %s", res.Revision, applyTimeout)
}

// Usage holds the resources that one instance of a fleet uses. Idle means that
// no caller sends requests and the configuration does not change.
type Usage struct {
	Instances   int
	Size        Size
	CPUShare    float64       // fraction of one core that an idle instance uses
	BytesPerSec float64       // sent to and received from peers by an idle instance
	HeapBytes   float64       // heap per instance, with its share of the platform
	CallsPerSec float64       // calls of all idle instances to the platform
	ChangeCPU   time.Duration // CPU time of an instance for one configuration change
	ChangeBytes float64       // peer traffic of an instance for one configuration change
	InForce     time.Duration // longest time until a change was in force on all instances
	Members     int           // smallest number of members in the view of an instance
}

// cpuTime returns the CPU time of this process, or zero if it is not available.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// peerBytes returns the bytes that all instances have exchanged with peers,
// counted at the sender and at the receiver.
func (f *Fleet) peerBytes() float64 {
	sum := 0.0
	for _, in := range f.Instances {
		sent, received := in.Peers.Bytes()
		sum += float64(sent + received)
	}
	return sum
}

// platformCalls returns the number of calls that the platform has received.
func (f *Fleet) platformCalls() float64 {
	sum := 0.0
	for _, n := range f.platform.Calls() {
		sum += float64(n)
	}
	return sum
}

// Measure runs n instances with a configuration of size s and returns their
// usage. Idle usage is averaged over the idle time.
func Measure(n int, s Size, idle time.Duration) (*Usage, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f, err := Start(n, s)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	time.Sleep(settleTime)
	u := &Usage{Instances: n, Size: s, Members: n}
	instanceSeconds := float64(n) * idle.Seconds()
	cpuBefore, bytesBefore, callsBefore := cpuTime(), f.peerBytes(), f.platformCalls()
	time.Sleep(idle)
	u.CPUShare = (cpuTime() - cpuBefore).Seconds() / instanceSeconds
	u.BytesPerSec = (f.peerBytes() - bytesBefore) / instanceSeconds
	u.CallsPerSec = (f.platformCalls() - callsBefore) / idle.Seconds()
	runtime.GC()
	runtime.ReadMemStats(&after)
	u.HeapBytes = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
	if err := f.measureChanges(u, s); err != nil {
		return nil, err
	}
	for _, in := range f.Instances {
		u.Members = min(u.Members, len(in.Heartbeats.Members()))
	}
	return u, nil
}

// measureChanges applies timedChanges configurations and sets the usage for one
// change: the usage of these changes less the idle usage in the same time,
// divided by their number.
func (f *Fleet) measureChanges(u *Usage, s Size) error {
	n := float64(u.Instances)
	start, cpuBefore, bytesBefore := time.Now(), cpuTime(), f.peerBytes()
	for i := range timedChanges {
		inForce, err := f.ApplyVariant(s, i+1)
		if err != nil {
			return err
		}
		u.InForce = max(u.InForce, inForce)
	}
	seconds := time.Since(start).Seconds()
	cpuSeconds := (cpuTime() - cpuBefore).Seconds() - u.CPUShare*n*seconds
	u.ChangeCPU = time.Duration(cpuSeconds / n / timedChanges * float64(time.Second))
	u.ChangeBytes = ((f.peerBytes()-bytesBefore)/n - u.BytesPerSec*seconds) / timedChanges
	return nil
}

// Write prints the usages as a table with one line each.
func Write(out io.Writer, usages []*Usage) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCES\tORGANISATIONS\tUPSTREAMS\tKNOWN\tCPU AT REST\tPEER B/s\tHEAP MB\tPLATFORM CALLS/s\tCPU A CHANGE\tPEER B A CHANGE\tIN FORCE")
	for _, u := range usages {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.3f%%\t%.0f\t%.2f\t%.1f\t%s\t%.0f\t%s\n", u.Instances, u.Size.Organisations, u.Size.Upstreams, u.Members,
			100*u.CPUShare, u.BytesPerSec, u.HeapBytes/(1<<20), u.CallsPerSec, u.ChangeCPU.Round(10*time.Microsecond), u.ChangeBytes, u.InForce.Round(time.Millisecond))
	}
	return w.Flush()
}
