package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"knapweedwell/standin/platform"
)

// Ports of an instance. Each instance has a loopback address of its own.
const (
	readinessPort = 8220
	directoryPort = 8224
	frontPort     = 8227
	controlPort   = 8229
	exchangePort  = 7340
	operatorPort  = 9464
)

// Bounds of the sheet.
const (
	drainTimeout = 2500 * time.Millisecond
	contactTime  = 4 * time.Second
)

const (
	readyTimeout = 20 * time.Second
	exitTimeout  = 2 * time.Second
	pollPeriod   = 20 * time.Millisecond
)

// world holds the processes and stand-ins of one case.
type world struct {
	start     time.Time
	trouble   bool
	store     *store
	instances []*instance

	mu      sync.Mutex
	record  *os.File
	folder  string // temporary folder with the settings
	network string // first three bytes of the instances' addresses
	command string
	form    string // template of the settings
	closers []func()
}

// instance is one process of the router.
type instance struct {
	name string
	ip   string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	log  *os.File
}

// newWorld opens the record, reads the deploy file and starts the store.
func newWorld(folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), trouble: trouble, record: record}
	if w.command, w.form, err = readDeployFile(); err != nil {
		return nil, err
	}
	if w.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	w.store, err = startStore()
	if err != nil {
		return nil, err
	}
	w.note("trouble %t, store at %s, instances in %s0/24", trouble, w.store.address, w.network)
	return w, nil
}

// readDeployFile returns the command of the router's role and the template of its settings.
func readDeployFile() (command, form string, err error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", "", err
	}
	value := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
		if m == nil {
			return ""
		}
		return string(m[1])
	}
	template, err := os.ReadFile(value("template"))
	return value("run"), string(template), err
}

// freeNetwork returns the first three bytes of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", network, frontPort))
		if err == nil {
			return network, l.Close()
		}
	}
	return "", errors.New("no loopback network has free ports")
}

// note writes a line with the time since the start into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// startInstances starts the instances and waits until all are ready. They are in one zone
// each, all of them in one region.
func (w *world) startInstances(n int) error {
	for k := range n {
		i := &instance{name: fmt.Sprintf("front-z%d-1", k+1), ip: fmt.Sprintf("%s%d", w.network, k+1)}
		w.instances = append(w.instances, i)
		if err := w.launch(i, k, n); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	w.note("%d instances are ready", n)
	return nil
}

// launch writes the settings of an instance and starts its process.
func (w *world) launch(i *instance, k, n int) error {
	var seeds []string
	zones := map[string]string{}
	for s := range n {
		zones[fmt.Sprintf("z%d", s+1)] = "region-1"
		if s < 3 {
			seeds = append(seeds, fmt.Sprintf("%s%d:%d", w.network, s+1, controlPort))
		}
	}
	settings := filepath.Join(w.folder, i.name+".ini")
	text := render(w.form, map[string]string{
		"node_name": i.name, "region": "region-1", "zone": fmt.Sprintf("z%d", k+1), "ip": i.ip,
		"listen.front": i.address(frontPort), "listen.control": i.address(controlPort),
		"listen.readiness": i.address(readinessPort), "listen.directory": i.address(directoryPort),
		"provider.address": w.store.address, "seeds": strings.Join(seeds, ","), "port_range.0": fmt.Sprint(exchangePort),
		"bounds.grace_period_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10",
		"bounds.budget_slack": "54", "bounds.config_deadline_ms": "2500", "bounds.drain_timeout_ms": "2500",
		"limits.memory_mb": "284",
	}, zones)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, i.name+".log"))
	if err != nil {
		return err
	}
	i.log = log
	words := strings.Fields(w.command)
	i.cmd = exec.Command(words[0], words[1:]...)
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "LANG=C", "KNAPWEEDWELL_SETTINGS=" + settings}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func() {
		defer close(i.done)
		_ = i.cmd.Wait()
	}()
	w.note("%s starts at %s, process %d", i.name, i.ip, i.cmd.Process.Pid)
	return nil
}

// render fills in a template as the deploy page describes it: names and one section.
func render(form string, values, zones map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	form = section.ReplaceAllStringFunc(form, func(s string) string {
		body := section.FindStringSubmatch(s)[1]
		var out strings.Builder
		for zone, region := range zones {
			out.WriteString(strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(body))
		}
		return out.String()
	})
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(form, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
}

// address returns an address of the instance.
func (i *instance) address(port int) string {
	return fmt.Sprintf("%s:%d", i.ip, port)
}

// ready reports whether the instance says that it is ready.
func (i *instance) ready() bool {
	resp, err := http.Get("http://" + i.address(readinessPort) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready.
func (i *instance) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollPeriod) {
		if i.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", i.name, readyTimeout)
}

// signal sends a signal to the process of an instance.
func (w *world) signal(i *instance, s syscall.Signal) {
	w.note("%s gets %s", i.name, s)
	_ = i.cmd.Process.Signal(s)
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, i := range w.instances {
		if i.done == nil {
			continue
		}
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
		_ = i.cmd.Process.Kill()
		select {
		case <-i.done:
		case <-time.After(exitTimeout):
		}
		_ = i.log.Close()
	}
	for _, f := range w.closers {
		f()
	}
	w.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
	_ = w.record.Close()
}

// store is the stand-in of the platform's store, which can cut off waiting watches.
type store struct {
	*platform.Server
	address string
	server  *http.Server

	mu  sync.Mutex
	cut chan struct{} // closed when the waiting watches are cut off
}

// startStore starts the store on a free port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Server: platform.New(), address: l.Addr().String(), cut: make(chan struct{})}
	s.server = &http.Server{Handler: s.handler(s.Handler()), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// close stops the store.
func (s *store) close() {
	_ = s.server.Close()
}

// cutWatches closes the connections on which watches wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}
