// Package member keeps an instance's view of the other instances and decides
// who owns a shard. The view is a pure function of its calls.
package member

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
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
	Revision    int64
	Successor   string // Successor holds the tickets of a leaving instance.
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

type known struct {
	Member
	heard   time.Time // heard is when a higher beat came.
	changed time.Time // changed is when the state or incarnation changed.
	absent  bool      // absent tells that the instance is known not to run.
}

// View is one instance's knowledge of all others.
type View struct {
	Self    Member
	members map[string]*known
	ended   map[string]string // ended maps identities that are gone to their successors.
	derived *derived          // derived is nil after a change.
}

// derived is what follows from the members' names and states.
type derived struct {
	tables    map[string]*rendezvous.Rendezvous // tables by region.
	owners    map[string]string                 // owners by shard and region.
	neighbors []string
	digest    uint32
}

// New returns a view that knows only the instance itself.
func New(self Member) *View {
	return &View{Self: self, members: map[string]*known{}, ended: map[string]string{}}
}

// newer reports whether a overrides b.
func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return a.State > b.State
}

// Merge takes in what another instance says of a member. It reports whether
// the member's state or incarnation changed.
func (v *View) Merge(now time.Time, m Member) bool {
	if m.Name == v.Self.Name || m.Name == "" {
		return false
	}
	k := v.members[m.Name]
	if k == nil {
		v.members[m.Name] = &known{Member: m, heard: now, changed: now}
		v.derived = nil
		return true
	}
	if !newer(m, k.Member) {
		return false
	}
	changed := m.State != k.State || m.Incarnation != k.Incarnation
	if m.Incarnation != k.Incarnation {
		v.ended[k.Identity()] = k.Successor
	}
	if m.State == Live || m.State == Leaving || m.Incarnation > k.Incarnation {
		k.heard = now
	}
	k.Member = m
	k.absent = m.State == Gone
	if changed {
		k.changed = now
		v.derived = nil
	}
	return changed
}

// Pulse is the part of a member that changes with each heartbeat.
type Pulse struct {
	Name        string
	Incarnation int64
	Beat        int64
	State       State
	Revision    int64
}

// Pulse returns the member's pulse.
func (m Member) Pulse() Pulse {
	return Pulse{Name: m.Name, Incarnation: m.Incarnation, Beat: m.Beat, State: m.State, Revision: m.Revision}
}

// MergePulse takes in a member's pulse. It reports whether the incarnation is
// known, and whether the member's state changed.
func (v *View) MergePulse(now time.Time, p Pulse) (known, changed bool) {
	k := v.members[p.Name]
	if k == nil || k.Incarnation != p.Incarnation {
		return p.Name == v.Self.Name, false
	}
	m := k.Member
	m.Beat, m.State, m.Revision = p.Beat, p.State, p.Revision
	return true, v.Merge(now, m)
}

// Digest returns a hash of the incarnations that are not gone. Views that agree
// have equal digests.
func (v *View) Digest() uint32 {
	return v.derive().digest
}

// SetSelf changes what this instance says of itself.
func (v *View) SetSelf(change func(*Member)) {
	change(&v.Self)
	v.derived = nil
}

func (v *View) derive() *derived {
	if v.derived == nil {
		v.derived = &derived{tables: map[string]*rendezvous.Rendezvous{}, owners: map[string]string{}}
		for _, m := range v.All() {
			if m.State != Gone {
				v.derived.digest ^= uint32(xxhash.Sum64String(m.Identity()))
			}
		}
	}
	return v.derived
}

// Tick makes silent neighbours suspect and then gone. It returns the members
// whose state changed.
func (v *View) Tick(now time.Time) []Member {
	watched := map[string]bool{}
	for _, m := range v.Neighbors() {
		watched[m.Name] = true
	}
	var changed []Member
	for name, k := range v.members {
		silent := now.Sub(k.heard)
		state := k.State
		switch {
		case k.State == Gone && now.Sub(k.changed) > ForgetAfter:
			v.ended[k.Identity()] = k.Successor
			delete(v.members, name)
			v.derived = nil
			continue
		case k.State == Suspect && now.Sub(k.changed) > GoneAfter-SuspectAfter:
			state = Gone
		case watched[name] && silent > GoneAfter && k.State == Leaving:
			state = Gone
		case watched[name] && silent > SuspectAfter && k.State <= Live:
			state = Suspect
		}
		if state != k.State {
			k.State = state
			k.changed = now
			v.derived = nil
			changed = append(changed, k.Member)
		}
	}
	return changed
}

// Forgive counts all members as heard now, after a freeze of this process.
func (v *View) Forgive(now time.Time) {
	for _, k := range v.members {
		k.heard = now
		if k.State == Suspect {
			k.changed = now
		}
	}
}

// Absent notes that an instance is known not to run.
func (v *View) Absent(name string) {
	if k := v.members[name]; k != nil {
		k.absent = true
	}
}

// Silence returns how long nothing was heard of any other instance, and false
// if none is known that may be running.
func (v *View) Silence(now time.Time) (time.Duration, bool) {
	var latest time.Time
	for _, k := range v.members {
		if !k.absent && k.heard.After(latest) {
			latest = k.heard
		}
	}
	return now.Sub(latest), !latest.IsZero()
}

// Doubt makes a member suspect because a call to it failed.
func (v *View) Doubt(now time.Time, name string) {
	k := v.members[name]
	if k == nil || k.State != Live {
		return
	}
	k.State = Suspect
	k.changed = now
	v.derived = nil
}

// Get returns the member with the name.
func (v *View) Get(name string) (Member, bool) {
	if name == v.Self.Name {
		return v.Self, true
	}
	k := v.members[name]
	if k == nil {
		return Member{}, false
	}
	return k.Member, true
}

// Ended reports whether an incarnation is known to have ended, and who holds
// its tickets, if anyone.
func (v *View) Ended(identity string) (successor string, ended bool) {
	name, incarnation, ok := ParseIdentity(identity)
	if !ok {
		return "", true
	}
	if s, gone := v.ended[identity]; gone {
		return s, true
	}
	m, found := v.Get(name)
	if !found {
		return "", false
	}
	if m.Incarnation == incarnation {
		return m.Successor, m.State == Gone
	}
	return "", m.Incarnation > incarnation
}

// All returns all members, including this instance, by name.
func (v *View) All() []Member {
	all := []Member{v.Self}
	for _, k := range v.members {
		all = append(all, k.Member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Live returns the live members, including this instance if it is live.
func (v *View) Live() []Member {
	var live []Member
	for _, m := range v.All() {
		if m.State == Live {
			live = append(live, m)
		}
	}
	return live
}

// News returns the members that changed lately, at most MaxNews.
func (v *View) News(now time.Time) []Member {
	var recent []*known
	for _, k := range v.members {
		if now.Sub(k.changed) < NewsLifetime {
			recent = append(recent, k)
		}
	}
	sort.Slice(recent, func(i, j int) bool { return recent[i].changed.After(recent[j].changed) })
	if len(recent) > MaxNews {
		recent = recent[:MaxNews]
	}
	news := make([]Member, len(recent))
	for i, k := range recent {
		news[i] = k.Member
	}
	return news
}

// Neighbors returns the members that this instance watches: all, or the
// MaxNeighbors that follow it in the order of hashed names.
func (v *View) Neighbors() []Member {
	d := v.derive()
	if d.neighbors == nil {
		d.neighbors = v.ring()
	}
	ms := make([]Member, len(d.neighbors))
	for i, name := range d.neighbors {
		ms[i] = v.members[name].Member
	}
	return ms
}

// ring returns the names of the first MaxNeighbors members after this instance
// in the order of hashed names.
func (v *View) ring() []string {
	self := xxhash.Sum64String(v.Self.Name)
	place := map[string]uint64{}
	names := []string{}
	for name, k := range v.members {
		if k.State != Gone {
			names = append(names, name)
			place[name] = xxhash.Sum64String(name) - self
		}
	}
	sort.Slice(names, func(i, j int) bool { return place[names[i]] < place[names[j]] })
	return names[:min(len(names), MaxNeighbors)]
}

// Owner returns the owner of a shard: by rendezvous hashing over the live
// members in the shard's region, or over all live ones if it has none. Leaving
// members own shards only while there is no live one.
func (v *View) Owner(shard, region string) (Member, bool) {
	d := v.derive()
	key := region + "\x00" + shard
	name, known := d.owners[key]
	if !known {
		if t := v.table(region); t != nil {
			name = t.Lookup(shard)
		}
		d.owners[key] = name
	}
	return v.Get(name)
}

// table returns the rendezvous table of a region, nil if there is no instance
// that may own a shard.
func (v *View) table(region string) *rendezvous.Rendezvous {
	d := v.derive()
	t, known := d.tables[region]
	if known {
		return t
	}
	for _, state := range []State{Live, Leaving} {
		near, all := v.names(state, region)
		if len(near) == 0 {
			near = all
		}
		if len(near) > 0 {
			t = rendezvous.New(near, xxhash.Sum64String)
			break
		}
	}
	d.tables[region] = t
	return t
}

// names returns the names of the members in a state: those of the region, and
// all.
func (v *View) names(state State, region string) (near, all []string) {
	for _, m := range v.All() {
		if m.State != state {
			continue
		}
		all = append(all, m.Name)
		if m.Region == region {
			near = append(near, m.Name)
		}
	}
	return near, all
}
