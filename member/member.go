// Package member keeps an instance's view of the other instances and decides
// who owns a shard. The view is a pure function of its calls.
package member

import (
	"fmt"
	"strings"
	"time"
)

// State is what is known of an instance.
type State int

// The states of an instance, in the order in which they override each other
// within one heartbeat.
const (
	Starting State = iota
	Live
	Suspect
	Leaving
	Gone
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	}
	return "gone"
}

// Timing of failure detection.
const (
	SuspectAfter = 2500 * time.Millisecond // SuspectAfter is the silence that makes an instance suspect.
	GoneAfter    = 8 * time.Second         // GoneAfter is the silence after which it counts as gone.
	EndedMemory  = time.Hour               // EndedMemory is how long an ended incarnation is remembered.
	maxHandovers = 100                     // maxHandovers bounds the handovers that are followed.
	ForgetAfter  = 10 * time.Minute        // ForgetAfter is when a gone instance is forgotten.
	NewsLifetime = 6 * time.Second         // NewsLifetime is how long a change is passed on.
	MaxNews      = 16                      // MaxNews bounds the changes in one heartbeat.
	MaxNeighbors = 4                       // MaxNeighbors bounds the instances that one instance watches.
)

// Member is one instance as others know it.
type Member struct {
	Name        string
	Incarnation int64 // Incarnation rises with each start of the instance.
	Beat        int64 // Beat rises with each heartbeat.
	State       State
	Region      string
	Zone        string
	Peer        string
	Caller      string
	Operator    string
	Exchange    string // Exchange is the address for datagrams, empty if there is none.
	Revision    int64
	Successor   string // Successor is the identity of the instance that took over the tickets of a leaving one.
}

// Identity returns the name with the incarnation.
func (m Member) Identity() string {
	return fmt.Sprintf("%s@%d", m.Name, m.Incarnation)
}

// ParseIdentity splits what Identity returned.
func ParseIdentity(id string) (name string, incarnation int64, ok bool) {
	name, number, found := strings.Cut(id, "@")
	if !found {
		return "", 0, false
	}
	if _, err := fmt.Sscanf(number, "%d", &incarnation); err != nil {
		return "", 0, false
	}
	return name, incarnation, true
}
