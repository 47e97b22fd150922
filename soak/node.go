package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	gracePeriod     = 8 * time.Second // from a stop signal to the kill
	memoryMegabytes = 284             // of each instance, unless a test states another number
)

// Ports of an instance. Each instance has its own loopback address, so the ports
// are the same for all.
const (
	callerPort = 7001 + iota
	peerPort
	operatorPort
	readinessPort
	directoryPort
	exchangePort
)

// node is one instance: its process, which may be started several times, and the
// proxies in front of it and of its store.
type node struct {
	name    string
	host    string
	zone    string
	program string
	dir     string

	memoryMegabytes int // in the settings
	maxDescriptors  int // in the settings; zero means none

	store     *Proxy         // in front of the platform's store
	peers     *Proxy         // in front of the peer address
	callers   *Proxy         // in front of the caller address
	datagrams *DatagramProxy // in front of the datagram address

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	starts       int
	started      time.Time
	exitExpected bool      // set once the process was sent a signal to end
	stopSignalAt time.Time // zero until a stop signal is sent
	lastFaultEnd time.Time // when the last fault on the node ended
	activeFaults int       // number of faults in force on the node
	onExit       func(n *node, err error)
}

func (n *node) address(port int) string {
	return fmt.Sprintf("%s:%d", n.host, port)
}

// startProxies starts the proxies of the node.
func (n *node) startProxies(storeAddress string) error {
	var err error
	if n.store, err = NewProxy(storeAddress); err != nil {
		return err
	}
	if n.peers, err = NewProxy(n.address(peerPort)); err != nil {
		return err
	}
	if n.callers, err = NewProxy(n.address(callerPort)); err != nil {
		return err
	}
	n.datagrams, err = NewDatagramProxy(n.address(exchangePort))
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
MemoryMegabytes = %d
MaxDescriptors = %s

[Zones]
z0 = r0
z1 = r0
z2 = r1
`

// writeSettings writes the node's settings file. Seeds is a list of peer
// addresses separated by commas.
func (n *node) writeSettings(seeds string, lifetime time.Duration) error {
	region := map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"}[n.zone]
	descriptors := ""
	if n.maxDescriptors > 0 {
		descriptors = strconv.Itoa(n.maxDescriptors)
	}
	text := fmt.Sprintf(settingsText, n.name, region, n.zone, n.address(callerPort), n.peers.Address(), n.address(peerPort),
		n.address(operatorPort), n.store.Address(), seeds, n.address(readinessPort), n.address(directoryPort), n.datagrams.Address(),
		n.address(exchangePort), lifetime, gracePeriod, n.memoryMegabytes, descriptors)
	return errors.Wrap(os.WriteFile(n.settingsPath(), []byte(text), 0o600), "write settings")
}

func (n *node) settingsPath() string {
	return filepath.Join(n.dir, n.name+".ini")
}

// start starts the process unless one is running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return nil
	}
	n.starts++
	out, err := os.Create(filepath.Join(n.dir, fmt.Sprintf("%s.%d.log", n.name, n.starts)))
	if err != nil {
		return errors.Wrap(err, "create the log of an instance")
	}
	cmd := exec.Command(n.program, "-settings", n.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "start an instance")
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.exitExpected, n.stopSignalAt, n.started = cmd, exited, false, time.Time{}, time.Now()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		n.mu.Lock()
		expected := n.exitExpected
		n.cmd = nil
		n.mu.Unlock()
		close(exited)
		if !expected {
			n.onExit(n, err)
		}
	}()
	return nil
}

// signal sends a signal to the process, if one is running.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		n.exitExpected = true
	case syscall.SIGTERM:
		n.exitExpected = true
		if n.stopSignalAt.IsZero() {
			n.stopSignalAt = time.Now()
		}
	}
	// A process that has just exited cannot be signalled.
	_ = n.cmd.Process.Signal(s)
}

// stop sends the process a stop signal and kills it after the grace period. It
// reports whether the process exited within that period.
func (n *node) stop() bool {
	n.mu.Lock()
	exited, running := n.exited, n.cmd != nil
	n.mu.Unlock()
	if !running {
		return true
	}
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(gracePeriod):
		n.kill()
		return false
	}
}

// kill kills the process and waits until it has exited.
func (n *node) kill() {
	n.mu.Lock()
	exited, running := n.exited, n.cmd != nil
	n.mu.Unlock()
	if !running {
		return
	}
	n.signal(syscall.SIGKILL)
	n.signal(syscall.SIGCONT)
	<-exited
}

// beginFault records that a fault is in force on the node until the returned
// function is called.
func (n *node) beginFault() func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeFaults++
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.activeFaults--
		n.lastFaultEnd = time.Now()
	}
}

// faultFreeSince reports whether no fault has been in force on the node since the
// given time.
func (n *node) faultFreeSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activeFaults == 0 && n.lastFaultEnd.Before(since)
}

// servingSince reports whether the node has run since the given time without a
// fault and without a stop signal.
func (n *node) servingSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && n.stopSignalAt.IsZero() && n.activeFaults == 0 && n.lastFaultEnd.Before(since) && n.started.Before(since)
}

// stopState returns when the current process was sent a stop signal, or the zero
// time if it was not, and how many times a process of the node was started.
func (n *node) stopState() (time.Time, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopSignalAt, n.starts
}

func (n *node) close() {
	n.kill()
	for _, p := range []*Proxy{n.store, n.peers, n.callers} {
		if p != nil {
			p.Close()
		}
	}
	if n.datagrams != nil {
		n.datagrams.Close()
	}
}
