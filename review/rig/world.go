package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"knapweedwell/standin/platform"
)

const (
	loopback      = "127.0.0.1"
	startTimeout  = 15 * time.Second
	stopTimeout   = 10 * time.Second
	pollPeriod    = 100 * time.Millisecond
	defaultMemory = 284 // megabytes of an instance
	zone          = "zone-a"
	region        = "region-a"
)

// world holds the store, the upstreams and the instances of one case.
type world struct {
	root   string // of the repository
	dir    string // for settings and logs
	record *record
	store  *platform.Server

	storeAddress string
	memory       int // megabytes of an instance, as its settings state them
	instances    []*instance
	host         string       // loopback address of the instances, which other worlds do not share
	ports        map[int]bool // that were given to instances

	mu      sync.Mutex
	servers []*http.Server
	beats   map[string]context.CancelFunc // by the ID of the upstream
	closed  bool
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld starts the store.
func newWorld(root string, rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, record: rec, store: platform.New(), memory: defaultMemory, host: randomHost(), ports: map[int]bool{}, beats: map[string]context.CancelFunc{}}
	w.storeAddress, err = w.serve(w.store.Handler())
	return w, err
}

// serve serves a handler at a free port.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// close ends all processes and servers of the world.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, cancel := range w.beats {
		cancel()
	}
	for _, i := range w.instances {
		i.kill()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// instance is one process of the daemon.
type instance struct {
	world    *world
	name     string
	settings string
	ports    []int
	cmd      *exec.Cmd
	exited   chan struct{}
}

// maxSeeds is the number of seeds in the settings.
const maxSeeds = 3

// Indexes of the ports of an instance.
const (
	frontPort = iota
	controlPort
	operatorPort
	readinessPort
	directoryPort
	exchangePort
	portCount
)

// address returns the address of one of the instance's ports.
func (i *instance) address(port int) string {
	return net.JoinHostPort(i.world.host, strconv.Itoa(i.ports[port]))
}

// randomHost returns one of the addresses of the loopback network.
func randomHost() string {
	const most = 254
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(most), 1+rand.IntN(most), 1+rand.IntN(most))
}

// Ports are taken from below those that the kernel gives to connections.
const (
	lowestPort = 20000
	portRange  = 12000
	portTries  = 1000
)

// freePorts returns ports that are free for TCP and for datagrams, and are not returned again.
func (w *world) freePorts(n int) ([]int, error) {
	var ports []int
	for range portTries {
		port := lowestPort + rand.IntN(portRange)
		if w.ports[port] {
			continue
		}
		address := net.JoinHostPort(w.host, strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer l.Close()
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		defer c.Close()
		w.ports[port] = true
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d ports are free", n)
}

// startInstances starts instances with the template of the deploy file, and waits until they are
// ready.
func (w *world) startInstances(n int) error {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "settings.ini"))
	if err != nil {
		return err
	}
	var seeds []string
	for k := range n {
		ports, err := w.freePorts(portCount)
		if err != nil {
			return err
		}
		i := &instance{world: w, name: fmt.Sprintf("front-zone-a-%d", k+1), ports: ports}
		w.instances = append(w.instances, i)
		seeds = append(seeds, i.address(controlPort))
	}
	for _, i := range w.instances {
		i.settings = filepath.Join(w.dir, i.name+".ini")
		if err := os.WriteFile(i.settings, []byte(i.render(string(text), seeds)), 0o600); err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	return w.waitReady()
}

// waitReady waits until all instances are ready.
func (w *world) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollPeriod) {
		n := 0
		for _, i := range w.instances {
			if i.ready() {
				n++
			}
		}
		if n == len(w.instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready after %s", startTimeout)
}

// render fills in the template as the platform does. The figures are those of a small
// deployment.
func (i *instance) render(text string, seeds []string) string {
	text = strings.ReplaceAll(text, "{{#zones}}{{@}} = {{.}}\n{{/zones}}", zone+" = "+region+"\n")
	// The daemon's own metrics are served at a port of the settings' text.
	text = strings.ReplaceAll(text, "{{ip}}:9464", i.address(operatorPort))
	text = strings.ReplaceAll(text, "{{ip}}:{{port_range.0}}", i.address(exchangePort))
	values := map[string]string{
		"node_name": i.name, "region": region, "zone": zone, "listen.front": i.address(frontPort), "listen.control": i.address(controlPort),
		"provider.address": i.world.storeAddress, "seeds": strings.Join(seeds[:min(len(seeds), maxSeeds)], ","),
		"listen.readiness": i.address(readinessPort), "listen.directory": i.address(directoryPort),
		"bounds.grace_period_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_slack": "54",
		"bounds.config_deadline_ms": "2500", "bounds.drain_timeout_ms": "2500", "heartbeat_ms": strconv.FormatInt(heartbeat.Milliseconds(), 10),
		"limits.memory_mb": strconv.Itoa(i.world.memory), "limits.max_fds": "4100",
		"contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		// The deployment has no duties.
		"cloud.address": "", "cloud.duties": "", "cloud.duties_per_s": "", "bounds.lease_ms": "", "bounds.thaw_ms": "",
		"bounds.report_window_s": "", "bounds.usage_tolerance": "", "bounds.usage_late_s": "",
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

// start starts the process.
func (i *instance) start() error {
	out, err := os.Create(filepath.Join(i.world.dir, i.name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join("target", "knapweedwelld"))
	cmd.Dir = i.world.root
	cmd.Env = append(os.Environ(), "KNAPWEEDWELL_SETTINGS="+i.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd, i.exited = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(i.exited)
	}()
	return nil
}

// running reports whether the process has not exited.
func (i *instance) running() bool {
	if i.cmd == nil {
		return false
	}
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for it.
func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	_ = i.cmd.Process.Kill()
	select {
	case <-i.exited:
	case <-time.After(stopTimeout):
	}
	i.cmd = nil
}

// ready reports whether the instance says that it is ready.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.address(readinessPort) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// memoryKilobytes returns the memory that the process has resident.
func (i *instance) memoryKilobytes() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(text)[0])
			return n
		}
	}
	return 0
}
