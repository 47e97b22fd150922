package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// record is what a view holds of one member.
type record struct {
	Member
	// lastSeen is when a newer incarnation, or a newer beat with the state Live or
	// Leaving, was last received.
	lastSeen   time.Time
	changed    time.Time // when the state or the incarnation last changed
	notRunning bool      // the instance is known not to run
}

// View holds what one instance has received about all others.
type View struct {
	Self Member
	// Renumber allows this instance to take a higher incarnation while it runs.
	// It is not set where tickets contain the incarnation.
	Renumber bool

	members map[string]*record
	ended   map[string]ending // incarnations that were followed by another or removed, by identity
	derived *derived          // nil after a change
	names   []string          // of all members, in order; nil after one was added or removed
}

// derived holds what is computed from the names and states of the members.
type derived struct {
	tables     map[string]*rendezvous.Rendezvous // by region
	owners     map[string]string                 // by shard and region
	neighbours []string
	digest     uint32
}

// New returns a view that contains only the instance itself.
func New(self Member) *View {
	return &View{Self: self, members: map[string]*record{}, ended: map[string]ending{}}
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

// Merge applies what another instance reports of a member. It reports whether
// the member's state or incarnation changed.
func (v *View) Merge(now time.Time, m Member) bool {
	if m.Name == v.Self.Name {
		return v.raiseIncarnation(m)
	}
	if m.Name == "" {
		return false
	}
	r := v.members[m.Name]
	if r == nil {
		v.members[m.Name] = &record{Member: m, lastSeen: now, changed: now}
		v.names = nil
		v.derived = nil
		return true
	}
	if !newer(m, r.Member) {
		return false
	}
	changed := m.State != r.State || m.Incarnation != r.Incarnation
	if m.Incarnation != r.Incarnation {
		v.ended[r.Identity()] = ending{successor: r.Successor, at: now}
	}
	if m.State == Starting || m.State == Live || m.State == Leaving || m.Incarnation > r.Incarnation {
		r.lastSeen = now
	}
	r.Member = m
	r.notRunning = m.State == Gone
	if changed {
		r.changed = now
		v.derived = nil
	}
	return changed
}

// raiseIncarnation takes a higher incarnation if an earlier process of the same
// name had one that is higher than that of this process, which happens when the
// time of day has been set back. It reports whether it did.
func (v *View) raiseIncarnation(m Member) bool {
	if !v.Renumber || m.Incarnation <= v.Self.Incarnation {
		return false
	}
	v.Self.Incarnation = m.Incarnation + 1
	v.derived = nil
	return true
}

// Pulse is the part of a member that every heartbeat contains.
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

// MergePulse applies a member's pulse. It reports whether the incarnation is
// known, and whether the member's state changed.
func (v *View) MergePulse(now time.Time, p Pulse) (known, changed bool) {
	r := v.members[p.Name]
	if r == nil || r.Incarnation != p.Incarnation {
		return p.Name == v.Self.Name, false
	}
	m := r.Member
	m.Beat, m.State, m.Revision = p.Beat, p.State, p.Revision
	return true, v.Merge(now, m)
}

// Digest returns a hash of the incarnations that are not gone. Views that agree
// have equal digests.
func (v *View) Digest() uint32 {
	return v.derive().digest
}

// SetSelf changes this instance's own member.
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

// Tick removes expired records, and marks silent neighbours as suspect and members
// that stay suspect as gone. It returns the members whose state changed.
func (v *View) Tick(now time.Time) []Member {
	v.expire(now)
	watched := map[string]bool{}
	for _, m := range v.Neighbours() {
		watched[m.Name] = true
	}
	var changed []Member
	for name, r := range v.members {
		state := r.nextState(now, watched[name])
		if state == r.State {
			continue
		}
		r.State = state
		r.changed = now
		v.derived = nil
		changed = append(changed, r.Member)
	}
	return changed
}

// nextState returns the state that follows from the silence of a member.
func (r *record) nextState(now time.Time, watched bool) State {
	silence := now.Sub(r.lastSeen)
	switch {
	case r.State == Suspect && now.Sub(r.changed) > GoneAfter-SuspectAfter:
		return Gone
	case watched && silence > GoneAfter && r.State == Leaving:
		return Gone
	case watched && silence > SuspectAfter && r.State <= Live:
		return Suspect
	}
	return r.State
}

// expire removes ended incarnations after EndedLifetime and gone members after
// GoneLifetime.
func (v *View) expire(now time.Time) {
	for identity, e := range v.ended {
		if now.Sub(e.at) > EndedLifetime {
			delete(v.ended, identity)
		}
	}
	for name, r := range v.members {
		if r.State == Gone && now.Sub(r.changed) > GoneLifetime {
			v.ended[r.Identity()] = ending{successor: r.Successor, at: now}
			delete(v.members, name)
			v.names = nil
			v.derived = nil
		}
	}
}

// ResetSilence sets the time at which all members were last seen to now, and the
// time at which suspect members became suspect. It is called after this process was
// suspended and could not receive anything.
func (v *View) ResetSilence(now time.Time) {
	for _, r := range v.members {
		r.lastSeen = now
		if r.State == Suspect {
			r.changed = now
		}
	}
}

// MarkNotRunning records that an instance is known not to run.
func (v *View) MarkNotRunning(name string) {
	if r := v.members[name]; r != nil {
		r.notRunning = true
	}
}

// Silence returns the time since a beat of any other instance was received. It
// reports false if no other instance is known that may be running.
func (v *View) Silence(now time.Time) (time.Duration, bool) {
	var latest time.Time
	for _, r := range v.members {
		if !r.notRunning && r.lastSeen.After(latest) {
			latest = r.lastSeen
		}
	}
	return now.Sub(latest), !latest.IsZero()
}

// GoneFor returns how long a member has been gone, zero if it is not.
func (v *View) GoneFor(now time.Time, name string) time.Duration {
	r := v.members[name]
	if r == nil || r.State != Gone {
		return 0
	}
	return now.Sub(r.changed)
}

// MarkSuspect marks a live member as suspect because a call to it failed.
func (v *View) MarkSuspect(now time.Time, name string) {
	r := v.members[name]
	if r == nil || r.State != Live {
		return
	}
	r.State = Suspect
	r.changed = now
	v.derived = nil
}

// Get returns the member with the name.
func (v *View) Get(name string) (Member, bool) {
	if name == v.Self.Name {
		return v.Self, true
	}
	r := v.members[name]
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// Ended reports whether an incarnation is known to have ended, and returns the
// identity of the instance that took over its tickets, empty if there is none.
// A malformed identity counts as ended.
func (v *View) Ended(identity string) (successor string, ended bool) {
	name, incarnation, ok := ParseIdentity(identity)
	if !ok {
		return "", true
	}
	if e, found := v.ended[identity]; found {
		return e.successor, true
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

// ending is the end of an incarnation.
type ending struct {
	successor string
	at        time.Time
}

// Ending is the end of an incarnation in the form that instances exchange.
type Ending struct {
	Identity  string
	Successor string
	Age       time.Duration
}

// Endings returns the ends that are recorded apart from the members: those of
// incarnations that were followed by another or whose member was removed.
func (v *View) Endings(now time.Time) []Ending {
	list := make([]Ending, 0, len(v.ended))
	for identity, e := range v.ended {
		list = append(list, Ending{Identity: identity, Successor: e.successor, Age: now.Sub(e.at)})
	}
	return list
}

// MergeEnding records the end of an incarnation. A successor that is known
// already is kept.
func (v *View) MergeEnding(now time.Time, e Ending) {
	if old, known := v.ended[e.Identity]; known && old.successor != "" {
		return
	}
	v.ended[e.Identity] = ending{successor: e.Successor, at: now.Add(-e.Age)}
}

// TicketHolder returns the instance that decides on an incarnation's tickets: the
// instance itself, or the last of those that the tickets were handed over to.
// It reports false if that instance is not known or has ended.
func (v *View) TicketHolder(identity string) (Member, bool) {
	for range maxHandovers {
		successor, ended := v.Ended(identity)
		if successor != "" {
			identity = successor
			continue
		}
		name, _, _ := ParseIdentity(identity)
		m, ok := v.Get(name)
		return m, ok && !ended && m.Identity() == identity
	}
	return Member{}, false
}

// All returns all members, including this instance, by name.
func (v *View) All() []Member {
	if v.names == nil {
		v.names = append(v.names, v.Self.Name)
		for name := range v.members {
			v.names = append(v.names, name)
		}
		sort.Strings(v.names)
	}
	all := make([]Member, len(v.names))
	for i, name := range v.names {
		all[i], _ = v.Get(name)
	}
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

// RecentChanges returns the members that changed within ChangeLifetime, the most
// recent change first, at most MaxChanges.
func (v *View) RecentChanges(now time.Time) []Member {
	var recent []*record
	for _, r := range v.members {
		if now.Sub(r.changed) < ChangeLifetime {
			recent = append(recent, r)
		}
	}
	sort.Slice(recent, func(i, j int) bool { return recent[i].changed.After(recent[j].changed) })
	if len(recent) > MaxChanges {
		recent = recent[:MaxChanges]
	}
	changes := make([]Member, len(recent))
	for i, r := range recent {
		changes[i] = r.Member
	}
	return changes
}

// Neighbours returns the members that this instance watches: of those that are not
// gone, the first MaxNeighbours after it in the order of the hashes of their names.
func (v *View) Neighbours() []Member {
	d := v.derive()
	if d.neighbours == nil {
		d.neighbours = v.nextInRing()
	}
	ms := make([]Member, len(d.neighbours))
	for i, name := range d.neighbours {
		ms[i] = v.members[name].Member
	}
	return ms
}

// nextInRing returns the names of the neighbours.
func (v *View) nextInRing() []string {
	self := xxhash.Sum64String(v.Self.Name)
	distance := map[string]uint64{}
	names := []string{}
	for name, r := range v.members {
		if r.State != Gone {
			names = append(names, name)
			distance[name] = xxhash.Sum64String(name) - self
		}
	}
	sort.Slice(names, func(i, j int) bool { return distance[names[i]] < distance[names[j]] })
	return names[:min(len(names), MaxNeighbours)]
}

// Owner returns the owner of a shard: by rendezvous hashing over the live
// members in the shard's region, or over all live ones if it has none. Leaving
// members own shards only while there is no live one. Owner reports false if there
// is neither.
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
		local, all := v.namesInState(state, region)
		if len(local) == 0 {
			local = all
		}
		if len(local) > 0 {
			t = rendezvous.New(local, xxhash.Sum64String)
			break
		}
	}
	d.tables[region] = t
	return t
}

// namesInState returns the names of the members in a state: those of the
// region, and all.
func (v *View) namesInState(state State, region string) (local, all []string) {
	for _, m := range v.All() {
		if m.State != state {
			continue
		}
		all = append(all, m.Name)
		if m.Region == region {
			local = append(local, m.Name)
		}
	}
	return local, all
}
