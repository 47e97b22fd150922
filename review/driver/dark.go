package main

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	shortQueue   = 4                     // connections that may wait at a listener
	maxFillers   = 50                    // connections that are opened to fill a queue
	fillTimeout  = 50 * time.Millisecond // after which the queue is taken for full
	loopbackByte = 127
)

// darkListener is a listener with a short queue of connections. Once it is dark it accepts
// none, so that its queue is full and the packets that open connections are dropped, as at a
// host that has lost power.
type darkListener struct {
	net.Listener

	mu      sync.Mutex
	dark    chan struct{} // closed when the listener goes dark
	ended   chan struct{} // closed when the listener is closed
	fillers []net.Conn
}

// listenShortly returns a listener with a short queue on a free port.
func listenShortly() (*darkListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{loopbackByte, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, shortQueue); err != nil {
		return nil, err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return &darkListener{Listener: l, dark: make(chan struct{}), ended: make(chan struct{})}, nil
}

// isDark reports whether the listener has gone dark.
func (l *darkListener) isDark() bool {
	select {
	case <-l.dark:
		return true
	default:
		return false
	}
}

// Accept returns the next connection, none once the listener is dark.
func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.isDark() {
		<-l.ended
		_ = c.Close()
		return nil, net.ErrClosed
	}
	return c, err
}

// darken makes the listener dark and fills its queue. It reports false if it was dark before.
func (l *darkListener) darken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDark() {
		return false
	}
	close(l.dark)
	for range maxFillers {
		c, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout)
		if err != nil {
			break
		}
		l.fillers = append(l.fillers, c)
	}
	return true
}

// Close closes the listener.
func (l *darkListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.ended:
		return nil
	default:
	}
	close(l.ended)
	for _, c := range l.fillers {
		_ = c.Close()
	}
	return l.Listener.Close()
}
