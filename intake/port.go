package intake

import (
	"container/list"
	"sync"
	"time"
)

// State is what a connection is used for.
type State int

// States of a connection.
const (
	Waiting   State = iota // no whole head of a request has come
	Receiving              // the body of a request is not complete
	Serving                // a request is being served
	Idle                   // the last request is answered
	states
)

const (
	// minWaiting is the time for the first head before a new connection gives way to a
	// newer one. It covers several round trips between regions.
	minWaiting = 100 * time.Millisecond
	// minReceiving is the time for a body before its connection gives way. The largest
	// body takes 3.4 s on the slowest link, 10 Mbit/s.
	minReceiving = 5 * time.Second
)

// Port is the set of connections at one port. The exported fields are set before the first
// use. Its methods may be called concurrently.
type Port struct {
	Name  string
	Limit int // connections; zero means no limit
	Drops *Drops

	mu     sync.Mutex
	open   int
	queues [states]list.List // of *Place, the longest in its state first
}

// Place is the place of one connection at a port.
type Place struct {
	port    *Port
	close   func()
	state   State
	since   time.Time
	element *list.Element // nil once the place is given up
}

// Open returns the number of connections.
func (p *Port) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Take returns a place for a new connection. If all are taken, another connection gives way,
// by calling its function to close. Take returns nil if none may.
func (p *Port) Take(now time.Time, closeConn func()) *Place {
	p.mu.Lock()
	var victim *Place
	reason := NoPlace
	if p.Limit > 0 && p.open >= p.Limit {
		if victim, reason = p.victim(now); victim == nil {
			p.mu.Unlock()
			p.Drops.Add(reason)
			return nil
		}
		p.remove(victim)
	}
	place := &Place{port: p, close: closeConn, since: now}
	place.element = p.queues[Waiting].PushBack(place)
	p.open++
	p.mu.Unlock()
	if victim != nil {
		p.Drops.Add(reason)
		victim.close()
	}
	return place
}

// victim returns the place that gives way to a new connection, nil if there is none. The
// caller holds p.mu.
func (p *Port) victim(now time.Time) (*Place, Reason) {
	for _, c := range []struct {
		state  State
		least  time.Duration // in the state
		reason Reason
	}{{Waiting, minWaiting, Unfinished}, {Idle, 0, IdleTooLong}, {Receiving, minReceiving, Unfinished}} {
		if front := p.queues[c.state].Front(); front != nil {
			if place := front.Value.(*Place); now.Sub(place.since) >= c.least {
				return place, c.reason
			}
		}
	}
	return nil, NoPlace
}

// remove gives up a place. The caller holds p.mu.
func (p *Port) remove(place *Place) {
	if place.element == nil {
		return
	}
	p.queues[place.state].Remove(place.element)
	place.element = nil
	p.open--
}

// Set records the state of the connection.
func (place *Place) Set(now time.Time, s State) {
	p := place.port
	p.mu.Lock()
	defer p.mu.Unlock()
	if place.element == nil {
		return
	}
	if place.state == s {
		return
	}
	p.queues[place.state].Remove(place.element)
	place.state, place.since = s, now
	place.element = p.queues[s].PushBack(place)
}

// Leave gives up the place. It may be called more than once.
func (place *Place) Leave() {
	place.port.mu.Lock()
	defer place.port.mu.Unlock()
	place.port.remove(place)
}
