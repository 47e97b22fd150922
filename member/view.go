package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

type known struct {
	Member
	heard   time.Time // heard is when a higher beat came.
	changed time.Time // changed is when the state or incarnation changed.
	absent  bool      // absent tells that the instance is known not to run.
}

// View is one instance's knowledge of all others.
type View struct {
	Self Member
	// Renumber allows this instance to take a higher incarnation while it runs. It
	// is not set where tickets name the incarnation.
	Renumber bool

	members map[string]*known
	ended   map[string]ending // ended holds the incarnations that were followed by another.
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
	return &View{Self: self, members: map[string]*known{}, ended: map[string]ending{}}
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
	if m.Name == v.Self.Name {
		return v.outbid(m)
	}
	if m.Name == "" {
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
		v.ended[k.Identity()] = ending{successor: k.Successor, at: now}
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

// outbid takes a higher incarnation if an earlier process of the same name had
// one as high, which happens when the time of day has been set back.
func (v *View) outbid(m Member) bool {
	if !v.Renumber || m.Incarnation <= v.Self.Incarnation {
		return false
	}
	v.Self.Incarnation = m.Incarnation + 1
	v.derived = nil
	return true
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
	v.forget(now)
	watched := map[string]bool{}
	for _, m := range v.Neighbors() {
		watched[m.Name] = true
	}
	var changed []Member
	for name, k := range v.members {
		state := k.judge(now, watched[name])
		if state == k.State {
			continue
		}
		k.State = state
		k.changed = now
		v.derived = nil
		changed = append(changed, k.Member)
	}
	return changed
}

// judge returns the state of a member after its silence.
func (k *known) judge(now time.Time, watched bool) State {
	silent := now.Sub(k.heard)
	switch {
	case k.State == Suspect && now.Sub(k.changed) > GoneAfter-SuspectAfter:
		return Gone
	case watched && silent > GoneAfter && k.State == Leaving:
		return Gone
	case watched && silent > SuspectAfter && k.State <= Live:
		return Suspect
	}
	return k.State
}

// forget drops what is too old to matter.
func (v *View) forget(now time.Time) {
	for identity, e := range v.ended {
		if now.Sub(e.at) > EndedMemory {
			delete(v.ended, identity)
		}
	}
	for name, k := range v.members {
		if k.State == Gone && now.Sub(k.changed) > ForgetAfter {
			v.ended[k.Identity()] = ending{successor: k.Successor, at: now}
			delete(v.members, name)
			v.derived = nil
		}
	}
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

// GoneFor returns how long a member has been gone, zero if it is not.
func (v *View) GoneFor(now time.Time, name string) time.Duration {
	k := v.members[name]
	if k == nil || k.State != Gone {
		return 0
	}
	return now.Sub(k.changed)
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
	if e, gone := v.ended[identity]; gone {
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

// Ending is the end of an incarnation, as it is passed on.
type Ending struct {
	Identity  string
	Successor string
	Age       time.Duration
}

// Endings returns the incarnations that are known to have ended.
func (v *View) Endings(now time.Time) []Ending {
	list := make([]Ending, 0, len(v.ended))
	for identity, e := range v.ended {
		list = append(list, Ending{Identity: identity, Successor: e.successor, Age: now.Sub(e.at)})
	}
	return list
}

// MergeEnding takes in the end of an incarnation.
func (v *View) MergeEnding(now time.Time, e Ending) {
	if old, known := v.ended[e.Identity]; known && old.successor != "" {
		return
	}
	v.ended[e.Identity] = ending{successor: e.Successor, at: now.Add(-e.Age)}
}

// Heir returns the instance that decides on an incarnation's tickets: itself,
// or the last of those that they were handed over to.
func (v *View) Heir(identity string) (Member, bool) {
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
