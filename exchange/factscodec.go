package exchange

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/quarantine"
	"knapweedwell/ratelimit"
)

// factsFormat is the format of the datagrams that carry facts about what crashes upstreams.
const factsFormat = 7

// The kinds of facts in a datagram. Others are skipped.
const (
	implicatedKind = 1 // parts at one place of the requests of one crash
	answeredKind   = 2
	convictedKind  = 3
	releasedKind   = 4
	limitKind      = 5 // what an upstream's answer said of its limit
	promptKind     = 6 // many parts of the requests of one crash, with their places
)

const (
	maxFacts   = 5000 // facts in one message
	maxFactAge = 24 * time.Hour
	maxPlace   = 1 << 10 // places in a request
	maxCrashes = 1 << 20 // crashes of one verdict
	// From minPromptParts on, the parts of one crash share an item. Earlier builds skip it, so that
	// short prompts do without.
	minPromptParts = 16
)

// comparison is the step of a comparison of facts that a message is. It begins with the
// digest of one instance. If that of the other one differs, they tell each other what
// they have, in short, and then send what the other one lacks.
type comparison byte

const (
	noComparison   comparison = iota
	compareDigest             // the recipient answers with what it has if its digest differs
	compareHas                // the recipient sends what the sender lacks, and what it has itself
	compareLacking            // the recipient sends what the sender lacks
)

// factsMessage is a datagram with facts. It holds their ages in place of times, because
// the clocks of instances differ, and the length of a verdict in place of its end.
type factsMessage struct {
	Sender  string
	Compare comparison
	Digest  uint64   // of all facts of the sender
	Has     []uint16 // fingerprints of all facts of the sender, with the digest
	Facts   []quarantine.Fact
	// Limits name upstreams by their hashes once they are decoded. They are no part of the
	// digest.
	Limits []ratelimit.Evidence
}

// encodeFacts encodes a message.
func encodeFacts(now time.Time, m factsMessage) []byte {
	b := []byte{factsFormat}
	b = appendText(b, m.Sender)
	b = append(b, byte(m.Compare))
	b = binary.LittleEndian.AppendUint64(b, m.Digest)
	has := m.Has[:min(len(m.Has), maxFacts)]
	b = binary.AppendUvarint(b, uint64(len(has)))
	for _, h := range has {
		b = binary.LittleEndian.AppendUint16(b, h)
	}
	items := factItems(now, m.Facts[:min(len(m.Facts), maxFacts)])
	for _, e := range m.Limits {
		items = append(items, factItem{kind: limitKind, data: appendLimit(now, e)})
	}
	b = binary.AppendUvarint(b, uint64(len(items)))
	for _, item := range items {
		b = append(b, item.kind)
		b = binary.AppendUvarint(b, uint64(len(item.data)))
		b = append(b, item.data...)
	}
	return b
}

// placedCrash identifies the facts that share an item: the parts at one place of the
// prompts in one crash, or at anyPlace.
type placedCrash struct {
	crash uint64
	place int
}

const anyPlace = -1

// factItem is a fact in a message, or the facts about one crash.
type factItem struct {
	kind byte
	data []byte
}

// factItems encodes facts in their order. Those about one crash and place share an item, and
// those about one crash if they are many.
func factItems(now time.Time, facts []quarantine.Fact) []factItem {
	var items []factItem
	crashes := map[placedCrash]int{} // positions of their items
	parts := countParts(facts)
	for _, f := range facts {
		item := factItem{}
		switch f := f.(type) {
		case quarantine.Implicated:
			key := placedCrash{crash: f.Crash, place: min(max(f.Place, 0), maxPlace)}
			place := key.place
			if parts[f.Crash] >= minPromptParts {
				key.place = anyPlace
			}
			i, known := crashes[key]
			if !known {
				i = len(items)
				crashes[key] = i
				items = append(items, newCrashItem(now, f, key.place))
			}
			if key.place == anyPlace {
				items[i].data = binary.AppendUvarint(items[i].data, uint64(place))
			}
			items[i].data = binary.AppendUvarint(items[i].data, f.Trait)
			continue
		case quarantine.Answered:
			item.kind, item.data = answeredKind, appendPartAge(now, f.Trait, f.At)
		case quarantine.Convicted:
			item.kind, item.data = convictedKind, appendPartAge(now, f.Trait, f.At)
			item.data = appendMillis(item.data, f.Until.Sub(f.At))
			item.data = binary.AppendUvarint(item.data, uint64(min(max(f.Crashes, 0), maxCrashes)))
			item.data = append(item.data, boolByte(f.Whole))
		case quarantine.Released:
			item.kind, item.data = releasedKind, appendPartAge(now, f.Trait, f.At)
		default:
			continue
		}
		items = append(items, item)
	}
	return items
}

// countParts returns the number of the facts about each crash.
func countParts(facts []quarantine.Fact) map[uint64]int {
	parts := map[uint64]int{}
	for _, f := range facts {
		if f, ok := f.(quarantine.Implicated); ok {
			parts[f.Crash]++
		}
	}
	return parts
}

// newCrashItem returns an item about the crash of a fact, without parts, for those at a place or
// at anyPlace.
func newCrashItem(now time.Time, f quarantine.Implicated, place int) factItem {
	data := appendMillis(binary.LittleEndian.AppendUint64(nil, f.Crash), now.Sub(f.At))
	if place == anyPlace {
		return factItem{kind: promptKind, data: data}
	}
	return factItem{kind: implicatedKind, data: binary.AppendUvarint(data, uint64(place))}
}

// appendPartAge encodes a part and the age of a fact about it.
func appendPartAge(now time.Time, part uint64, at time.Time) []byte {
	return appendMillis(binary.AppendUvarint(nil, part), now.Sub(at))
}

// appendLimit encodes what an upstream's answer said of its limit.
func appendLimit(now time.Time, e ratelimit.Evidence) []byte {
	b := append([]byte(nil), upstreamHash(e.Upstream)...)
	b = binary.AppendUvarint(b, uint64(max(e.Born, 0)))
	b = appendMillis(b, now.Sub(e.At))
	b = append(b, boolByte(e.Named))
	return binary.AppendUvarint(b, uint64(math.Round(e.Rate*ratelimit.RateSteps)))
}

// limit reads what appendLimit encodes. The upstream is a hash.
func (r *reader) limit(now time.Time) ratelimit.Evidence {
	e := ratelimit.Evidence{Upstream: string(r.bytes(hashBytes))}
	e.Born = int64(r.uvarint() & math.MaxInt64)
	e.At = now.Add(-r.millis())
	e.Named = r.bytes(1)[0] != 0
	e.Rate = float64(r.count(maxCount)) / ratelimit.RateSteps
	return e
}

// appendMillis encodes a time span in milliseconds, from zero to maxFactAge.
func appendMillis(b []byte, d time.Duration) []byte {
	return binary.AppendUvarint(b, uint64(min(max(d, 0), maxFactAge).Milliseconds()))
}

// decodeFacts decodes a message that was received at now.
func decodeFacts(now time.Time, data []byte) (factsMessage, error) {
	r := &reader{data: data}
	if v := r.bytes(1); v[0] != factsFormat {
		return factsMessage{}, errors.Errorf("facts have format %d, expected %d", v[0], factsFormat)
	}
	m := factsMessage{Sender: r.text(), Compare: comparison(r.bytes(1)[0])}
	m.Digest = r.uint64()
	for range r.count(maxFacts) {
		m.Has = append(m.Has, binary.LittleEndian.Uint16(r.bytes(2)))
	}
	for range r.count(maxFacts) {
		kind := r.bytes(1)[0]
		item := &reader{data: r.bytes(r.count(len(r.data)))}
		if kind == limitKind {
			m.Limits = append(m.Limits, item.limit(now))
		} else {
			m.Facts = append(m.Facts, item.facts(now, kind)...)
		}
		r.malformed = r.malformed || item.malformed
	}
	if r.malformed || len(r.data) > 0 || len(m.Facts) > maxFacts {
		return factsMessage{}, errMalformed
	}
	return m, nil
}

// facts reads the facts of one item. Bytes after them are left for later builds.
func (r *reader) facts(now time.Time, kind byte) []quarantine.Fact {
	switch kind {
	case implicatedKind:
		crash, at, place := r.uint64(), now.Add(-r.millis()), r.count(maxPlace)
		var facts []quarantine.Fact
		for len(r.data) > 0 && !r.malformed {
			facts = append(facts, quarantine.Implicated{Trait: r.uvarint(), Place: place, Crash: crash, At: at})
		}
		return facts
	case promptKind:
		crash, at := r.uint64(), now.Add(-r.millis())
		var facts []quarantine.Fact
		for len(r.data) > 0 && !r.malformed {
			place := r.count(maxPlace)
			facts = append(facts, quarantine.Implicated{Trait: r.uvarint(), Place: place, Crash: crash, At: at})
		}
		return facts
	case answeredKind:
		return []quarantine.Fact{quarantine.Answered{Trait: r.uvarint(), At: now.Add(-r.millis())}}
	case convictedKind:
		f := quarantine.Convicted{Trait: r.uvarint(), At: now.Add(-r.millis())}
		f.Until = f.At.Add(r.millis())
		f.Crashes = r.count(maxCrashes)
		f.Whole = len(r.data) > 0 && r.bytes(1)[0] != 0 // earlier builds end before it
		return []quarantine.Fact{f}
	case releasedKind:
		return []quarantine.Fact{quarantine.Released{Trait: r.uvarint(), At: now.Add(-r.millis())}}
	}
	return nil
}

func (r *reader) uint64() uint64 {
	return binary.LittleEndian.Uint64(r.bytes(8))
}

// millis reads a time span of at most maxFactAge.
func (r *reader) millis() time.Duration {
	return time.Duration(r.count(int(maxFactAge.Milliseconds()))) * time.Millisecond
}
