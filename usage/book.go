// Package usage counts the requests of each organisation by window and the demand of each
// pool by second, collects the counts of all instances, and reports each window once to the
// platform. See docs/design/duties.md.
package usage

import (
	"maps"
	"slices"
	"time"
)

// Kind says what a slot counts.
type Kind byte

// The kinds of slots.
const (
	WindowKind Kind = 1 // requests by organisation in one window
	DemandKind Kind = 2 // demand by pool in one second
)

// Slot is a stretch of true time of which counts are kept.
type Slot struct {
	Kind   Kind
	Number int64 // of the window or second since the start of 1970
}

const (
	keepTime   = 60 * time.Second // for which counts are kept
	resendTime = 20 * time.Second // of which counts are sent to an instance that gets them newly
	// maxNames bounds the names of one slot.
	maxNames = 2000
	// sendRounds is the number of rounds in which a count is sent after it has changed, so
	// that lost datagrams are made up for.
	sendRounds = 3
	// maxMessageBytes is the size of the entries in one message.
	maxMessageBytes = 1200
	entryBytes      = 8 // of one entry beyond its name
)

// Entry is one count of a slot.
type Entry struct {
	Name  string
	Count int64
}

// Message holds counts of one slot. The counts of a source only increase, so that repeated
// and reordered messages are harmless.
type Message struct {
	Source  string // identity of the incarnation that counted or summed
	Zone    string // zone whose sums these are; empty if the counts are those of Source alone
	Covers  int    // instances that the sums cover
	Time    int64  // true time of the sender in milliseconds since the start of 1970
	Slot    Slot
	Entries []Entry
}

// page holds the counts of one slot.
type page struct {
	counts map[string]int64
	sent   map[string]int // rounds in which the present count is still to be sent
}

// book holds the counts of one source.
type book map[Slot]*page

// raise sets a count unless it is higher already.
func (b book) raise(slot Slot, name string, count int64) {
	p := b[slot]
	if p == nil {
		p = &page{counts: map[string]int64{}, sent: map[string]int{}}
		b[slot] = p
	}
	old, ok := p.counts[name]
	if count <= old || (!ok && len(p.counts) >= maxNames) {
		return
	}
	p.counts[name] = count
	p.sent[name] = sendRounds
}

func (b book) get(slot Slot, name string) int64 {
	if p := b[slot]; p != nil {
		return p.counts[name]
	}
	return 0
}

// expire forgets slots that ended before a time.
func (b book) expire(before time.Time, length time.Duration) {
	for slot := range b {
		if slot.end(length).Before(before) {
			delete(b, slot)
		}
	}
}

// unsent returns the counts that are to be sent in this round.
func (b book) unsent() map[Slot][]Entry {
	out := map[Slot][]Entry{}
	for slot, p := range b {
		for _, name := range slices.Sorted(maps.Keys(p.sent)) {
			out[slot] = append(out[slot], Entry{Name: name, Count: p.counts[name]})
			if p.sent[name]--; p.sent[name] == 0 {
				delete(p.sent, name)
			}
		}
	}
	return out
}

// resend marks the counts of slots that ended after a time as unsent.
func (b book) resend(since time.Time, window time.Duration) {
	for slot, p := range b {
		if slot.Kind != WindowKind || slot.end(window).Before(since) {
			continue
		}
		for name := range p.counts {
			p.sent[name] = max(p.sent[name], 1)
		}
	}
}

// end returns when a slot ends, in true time.
func (s Slot) end(window time.Duration) time.Time {
	if s.Kind == DemandKind {
		return time.Unix(s.Number+1, 0)
	}
	return time.Unix(0, (s.Number+1)*int64(window))
}

// slotAt returns the slot of a kind at a true time.
func slotAt(kind Kind, at time.Time, window time.Duration) Slot {
	if kind == DemandKind {
		return Slot{Kind: kind, Number: at.Unix()}
	}
	return Slot{Kind: kind, Number: at.UnixNano() / int64(window)}
}

// messages splits entries into messages that fit into a datagram each.
func messages(m Message, entries []Entry) []Message {
	var out []Message
	size := maxMessageBytes
	for _, e := range entries {
		size += len(e.Name) + entryBytes
		if size > maxMessageBytes {
			m.Entries = nil
			out = append(out, m)
			size = len(e.Name) + entryBytes
		}
		last := &out[len(out)-1]
		last.Entries = append(last.Entries, e)
	}
	return out
}
