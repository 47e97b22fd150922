package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const gracePeriod = 8 * time.Second // gracePeriod is the time from a stop signal to the kill.

// Ports of an instance. Each has a loopback address of its own.
const (
	callerPort = 7001 + iota
	peerPort
	operatorPort
	readinessPort
	directoryPort
	exchangePort
)

// node is one instance: its process, which may be started many times, and the
// links around it.
type node struct {
	name    string
	host    string
	zone    string
	program string
	dir     string
	store   *Link  // store stands before the platform's store.
	peers   *Link  // peers stands before the node, for other instances.
	callers *Link  // callers stands before the node, for its callers.
	news    *Relay // news stands before the node's datagrams.

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{} // ended is closed when the process has ended.
	starts    int
	started   time.Time
	meant     bool      // meant tells that the process is meant to end.
	term      time.Time // term is when the process was told to stop; zero while it was not.
	disturbed time.Time // disturbed is until when the node was harmed in any way.
	harms     int       // harms counts the harms that are in force.
	onExit    func(n *node, err error)
}

func (n *node) address(port int) string {
	return fmt.Sprintf("%s:%d", n.host, port)
}

// links starts the links around the node.
func (n *node) links(store string) error {
	var err error
	if n.store, err = NewLink(store); err != nil {
		return err
	}
	if n.peers, err = NewLink(n.address(peerPort)); err != nil {
		return err
	}
	if n.callers, err = NewLink(n.address(callerPort)); err != nil {
		return err
	}
	n.news, err = NewRelay(n.address(exchangePort))
	return err
}

const settingsText = `[Instance]
Name = %s
Region = %s
Zone = %s
Caller = %s
Peer = %s
PeerBind = %s
Operator = %s
Platform = %s
Seeds = %s

[Routes]
Readiness = %s
Directory = %s
Exchange = %s
ExchangeBind = %s
AddressLifetime = %s
GracePeriod = %s
RetryRatio = 0.2
RetryWindow = 10s
RetrySlack = 50

[Zones]
z0 = r0
z1 = r0
z2 = r1
`

// write writes the node's settings file.
func (n *node) write(seeds string, lifetime time.Duration) error {
	region := map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"}[n.zone]
	text := fmt.Sprintf(settingsText, n.name, region, n.zone, n.address(callerPort), n.peers.Address(), n.address(peerPort),
		n.address(operatorPort), n.store.Address(), seeds, n.address(readinessPort), n.address(directoryPort), n.news.Address(),
		n.address(exchangePort), lifetime, gracePeriod)
	return errors.Wrap(os.WriteFile(n.settings(), []byte(text), 0o600), "write settings")
}

func (n *node) settings() string {
	return filepath.Join(n.dir, n.name+".ini")
}

// start starts the process unless one runs.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return nil
	}
	n.starts++
	out, err := os.Create(filepath.Join(n.dir, fmt.Sprintf("%s.%d.log", n.name, n.starts)))
	if err != nil {
		return errors.Wrap(err, "log of an instance")
	}
	cmd := exec.Command(n.program, "-settings", n.settings())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "start an instance")
	}
	ended := make(chan struct{})
	n.cmd, n.ended, n.meant, n.term, n.started = cmd, ended, false, time.Time{}, time.Now()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		n.mu.Lock()
		meant := n.meant
		n.cmd = nil
		n.mu.Unlock()
		close(ended)
		if !meant {
			n.onExit(n, err)
		}
	}()
	return nil
}

// signal sends a signal to the process, if one runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		n.meant = true
	case syscall.SIGTERM:
		n.meant = true
		if n.term.IsZero() {
			n.term = time.Now()
		}
	}
	// A process that has just ended gets no signal.
	_ = n.cmd.Process.Signal(s)
}

// stop stops the process as planned and returns whether it ended in time.
func (n *node) stop() bool {
	n.mu.Lock()
	ended, runs := n.ended, n.cmd != nil
	n.mu.Unlock()
	if !runs {
		return true
	}
	n.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(gracePeriod):
		n.kill()
		return false
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	ended, runs := n.ended, n.cmd != nil
	n.mu.Unlock()
	if !runs {
		return
	}
	n.signal(syscall.SIGKILL)
	n.signal(syscall.SIGCONT)
	<-ended
}

// harm notes that the node is harmed until the returned function is called.
func (n *node) harm() func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.harms++
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.harms--
		n.disturbed = time.Now()
	}
}

// unharmed reports whether nothing has harmed the node since the time.
func (n *node) unharmed(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.harms == 0 && n.disturbed.Before(since)
}

// serving reports whether the node has run unharmed since the time and was not
// told to stop.
func (n *node) serving(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && n.term.IsZero() && n.harms == 0 && n.disturbed.Before(since) && n.started.Before(since)
}

// stopping returns when the running process was told to stop, zero if it was
// not, and how many processes were started.
func (n *node) stopping() (time.Time, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.term, n.starts
}

func (n *node) close() {
	n.kill()
	for _, l := range []*Link{n.store, n.peers, n.callers} {
		if l != nil {
			l.Close()
		}
	}
	if n.news != nil {
		n.news.Close()
	}
}
