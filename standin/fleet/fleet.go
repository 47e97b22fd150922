// Package fleet runs many instances in one process over real sockets and
// measures what each of them spends on control while no caller sends anything.
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
	settleTime    = 12 * time.Second
	forceTimeout  = 30 * time.Second
	forcePeriod   = 20 * time.Millisecond
	changes       = 5 // changes is the number of configuration changes timed.
	zones         = 7
	regions       = 2
	models        = 4
	tiers         = 7
	shardSize     = 3
)

// Size is the size of a configuration.
type Size struct {
	Organisations int
	Upstreams     int
}

// Text returns a configuration of the size, with seven tiers, four models and
// two regions. All upstreams are at an address that refuses connections. The
// mark makes texts differ by one line.
func Text(s Size, mark int) string {
	var b strings.Builder
	for i := range regions {
		fmt.Fprintf(&b, "[Region Region-%d]\n\n", i)
	}
	for i := range tiers {
		fmt.Fprintf(&b, "[Tier Tier-%d]\nRank = %d\nPreempts = %t\n\n", i, i+1, i < 3)
		fmt.Fprintf(&b, "[Class Class-%d]\nTier = Tier-%d\nFirstToken = 1400ms\nBetweenToken = 62ms\nQueueTimeout = %ds\n\n", i, i, 30+mark)
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

// Fleet is a number of instances in this process.
type Fleet struct {
	platform  *platform.Server
	server    *http.Server
	Instances []*instance.Instance
}

// Start starts n instances and puts a configuration of the size in force.
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
	if _, err := f.Change(s, 0); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func newInstance(i int, store string, seeds []string, log logrus.FieldLogger) *instance.Instance {
	return &instance.Instance{
		Settings: &setting.Settings{
			Name: fmt.Sprintf("entry-%d", i), Region: fmt.Sprintf("Region-%d", i%regions), Zone: fmt.Sprintf("Zone-%d", i%zones),
			Caller: anyPort, Peer: anyPort, Operator: anyPort, Platform: store, Seeds: seeds,
			MaxBodyBytes: 1 << 20, MaxRequests: 1000, Policy: "tiered",
		},
		Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log, Check: &invariant.Checker{},
	}
}

// Close closes all instances.
func (f *Fleet) Close() {
	for _, in := range f.Instances {
		_ = in.Close()
	}
	_ = f.server.Close()
}

// Change applies a changed configuration and returns the time until it was in
// force on all instances.
func (f *Fleet) Change(s Size, mark int) (time.Duration, error) {
	begin := time.Now()
	res, err := f.Instances[0].Keeper.Apply(context.Background(), revision.Change{Base: -1, Author: "fleet", Text: Text(s, mark)})
	if err != nil {
		return 0, err
	}
	if res.Outcome != revision.Applied {
		return 0, errors.Errorf("apply: %s %s", res.Outcome, res.Reason)
	}
	for time.Since(begin) < forceTimeout {
		behind := 0
		for _, in := range f.Instances {
			if in.Keeper.Revision() < res.Revision {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(begin), nil
		}
		time.Sleep(forcePeriod)
	}
	return 0, errors.Errorf("revision %d is not in force everywhere after %s", res.Revision, forceTimeout)
}

// Usage is what one instance spends.
type Usage struct {
	Instances   int
	Size        Size
	CPUShare    float64 // CPUShare is the part of a core, at rest.
	BytesPerSec float64 // BytesPerSec is what an instance sends to and receives from peers, at rest.
	HeapBytes   float64
	CallsPerSec float64 // CallsPerSec is the platform's calls of all instances, at rest.
	ChangeCPU   time.Duration
	ChangeBytes float64       // ChangeBytes is what one change costs an instance in peer traffic.
	InForce     time.Duration // InForce is the longest time until a change was in force everywhere.
	Members     int           // Members is the least number of members that an instance knows.
}

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (f *Fleet) bytes() float64 {
	sum := 0.0
	for _, in := range f.Instances {
		sent, received := in.Peers.Bytes()
		sum += float64(sent + received)
	}
	return sum
}

func (f *Fleet) calls() float64 {
	sum := 0.0
	for _, n := range f.platform.Calls() {
		sum += float64(n)
	}
	return sum
}

// Measure runs n instances and returns what each of them spends.
func Measure(n int, s Size, rest time.Duration) (*Usage, error) {
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
	per := float64(n) * rest.Seconds()
	c, b, calls := cpu(), f.bytes(), f.calls()
	time.Sleep(rest)
	u.CPUShare = (cpu() - c).Seconds() / per
	u.BytesPerSec = (f.bytes() - b) / per
	u.CallsPerSec = (f.calls() - calls) / rest.Seconds()
	runtime.GC()
	runtime.ReadMemStats(&after)
	u.HeapBytes = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
	if err := f.measureChanges(u, s); err != nil {
		return nil, err
	}
	for _, in := range f.Instances {
		u.Members = min(u.Members, len(in.Beats.Members()))
	}
	return u, nil
}

// measureChanges times changes of the configuration, and takes off what the
// instances spend at rest meanwhile.
func (f *Fleet) measureChanges(u *Usage, s Size) error {
	n := float64(u.Instances)
	begin, c, b := time.Now(), cpu(), f.bytes()
	for i := range changes {
		took, err := f.Change(s, i+1)
		if err != nil {
			return err
		}
		u.InForce = max(u.InForce, took)
	}
	length := time.Since(begin).Seconds()
	spent := (cpu() - c).Seconds() - u.CPUShare*n*length
	u.ChangeCPU = time.Duration(spent / n / changes * float64(time.Second))
	u.ChangeBytes = ((f.bytes()-b)/n - u.BytesPerSec*length) / changes
	return nil
}

// Write prints the usages as a table.
func Write(out io.Writer, us []*Usage) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCES\tORGANISATIONS\tUPSTREAMS\tKNOWN\tCPU AT REST\tPEER B/s\tHEAP MB\tPLATFORM CALLS/s\tCPU A CHANGE\tPEER B A CHANGE\tIN FORCE")
	for _, u := range us {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.3f%%\t%.0f\t%.2f\t%.1f\t%s\t%.0f\t%s\n", u.Instances, u.Size.Organisations, u.Size.Upstreams, u.Members,
			100*u.CPUShare, u.BytesPerSec, u.HeapBytes/(1<<20), u.CallsPerSec, u.ChangeCPU.Round(10*time.Microsecond), u.ChangeBytes, u.InForce.Round(time.Millisecond))
	}
	return w.Flush()
}
