// Package member maintains an instance's view of the other instances and computes
// the owner of a shard. The view depends on nothing but the calls of its
// functions.
package member

import (
	"fmt"
	"strings"
	"time"
)

// State is the state of an instance in a view.
type State int

// The states of an instance. Of two reports with the same incarnation and beat, the
// one with the later state overrides the other.
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

// Times and bounds of failure detection and of the exchange of changes.
const (
	SuspectAfter = 2500 * time.Millisecond // silence after which an instance is suspect
	// GoneAfter is the silence after which a leaving neighbour is gone. A suspect
	// instance is gone GoneAfter - SuspectAfter after it became suspect.
	GoneAfter      = 8 * time.Second
	EndedLifetime  = time.Hour        // how long an ended incarnation is kept
	maxHandovers   = 100              // largest number of handovers of tickets that are followed
	GoneLifetime   = 10 * time.Minute // how long a gone instance is kept
	ChangeLifetime = 6 * time.Second  // how long a change is passed on
	MaxChanges     = 16               // changes in one heartbeat
	MaxNeighbours  = 4                // instances that one instance watches
)

// Member is one instance as the others see it.
type Member struct {
	Name        string
	Incarnation int64 // rises with each start of the instance
	Beat        int64 // rises with each heartbeat
	State       State
	Region      string
	Zone        string
	Peer        string // address for other instances
	Caller      string // address for callers
	Operator    string // address for the operator
	Exchange    string // address for datagrams, empty if there is none
	Revision    int64  // revision of the configuration, or version of the route table, in force
	Successor   string // identity of the instance that took over the tickets of a leaving one
}

// Identity returns the name and the incarnation as NAME@INCARNATION.
func (m Member) Identity() string {
	return fmt.Sprintf("%s@%d", m.Name, m.Incarnation)
}

// ParseIdentity splits an identity into its name and incarnation. It reports
// false if the identity is malformed.
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
