package exchange

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/aggregate"
	"knapweedwell/balancer"
	"knapweedwell/member"
)

// The formats of the datagrams that are sent where the reports are aggregated. They
// are the first byte, as formatVersion is in a report.
const (
	summaryFormat = 3 // from an aggregator to those of the other zones
	tableFormat   = 4 // from an aggregator to an instance of its zone
	noticeFormat  = 5 // the head and the news only
	probeFormat   = 6 // from an aggregator to a silent instance of its zone; asks for a report
)

// scope says which upstreams the loads of a table are about.
type scope byte

const (
	regionScope scope = iota // those in the region of the aggregator
	restScope                // all others, without tokens and gap ratios
	noScope                  // no upstreams: the table only shows that the aggregator runs
)

const (
	loadsPerPart  = 400  // loads in one digest, about
	maxLoads      = 600  // loads in one digest
	pendingUnit   = 256  // prompt tokens per unit of a load in a digest
	tokensUnit    = 1024 // tokens per unit of a load in a digest
	maxInstances  = 1000 // instances in one list
	maxLists      = 16
	maxNews       = 12
	maxTextBytes  = 128
	instanceFlags = 0x80 // bit of an instance's state that says that the store does not answer it
)

// digest is a datagram that carries sums.
type digest struct {
	Format           byte
	Sender           string
	State            member.State
	StoreUnreachable bool // the store does not answer the sender
	Sequence         uint64
	Version          int64
	RosterMark       int64
	// Followed is set in a table if the sender knows an aggregator, itself included,
	// that the store answers.
	Followed   bool
	Scope      scope
	Part       int           // number of this part of the loads, from 0
	Parts      int           // number of the parts of the loads
	Age        time.Duration // mean age of the reports and summaries in the loads
	Lists      []aggregate.Zone
	Loads      []balancer.Report
	Placements []balancer.Placement
	News       []member.Member // members that started, changed or ended recently
}

// encodeDigest encodes a digest, with hashes in place of the names of upstreams. The
// upstreams of the loads are hashes already. What exceeds a limit is omitted.
func encodeDigest(d digest) []byte {
	b := []byte{d.Format}
	b = appendText(b, d.Sender)
	b = append(b, byte(d.State), boolByte(d.StoreUnreachable))
	b = binary.AppendUvarint(b, d.Sequence)
	b = binary.AppendUvarint(b, uint64(max(d.Version, 0)))
	b = binary.AppendUvarint(b, uint64(max(d.RosterMark, 0)))
	b = append(b, boolByte(d.Followed), byte(d.Scope), byte(d.Part), byte(d.Parts))
	b = binary.AppendUvarint(b, uint64(max(d.Age.Milliseconds(), 0)))
	lists := d.Lists[:min(len(d.Lists), maxLists)]
	b = binary.AppendUvarint(b, uint64(len(lists)))
	for _, l := range lists {
		b = appendList(b, l)
	}
	loads := d.Loads[:min(len(d.Loads), maxLoads)]
	b = binary.AppendUvarint(b, uint64(len(loads)))
	for _, l := range loads {
		b = append(b, l.Upstream...)
		b = binary.AppendUvarint(b, uint64(max(l.Counts.Running, 0)))
		b = binary.AppendUvarint(b, inUnits(l.Counts.Pending, pendingUnit))
		if d.Scope == restScope {
			continue
		}
		b = binary.AppendUvarint(b, inUnits(l.Counts.Tokens, tokensUnit))
		b = append(b, encodeGapRatio(l))
	}
	b = appendPlacements(b, d.Placements)
	news := d.News[:min(len(d.News), maxNews)]
	b = binary.AppendUvarint(b, uint64(len(news)))
	for _, m := range news {
		b = appendMember(b, m)
	}
	return b
}

// inUnits returns a count in units, rounded up.
func inUnits(n, unit int) uint64 {
	return uint64((max(n, 0) + unit - 1) / unit)
}

func appendText(b []byte, text string) []byte {
	text = text[:min(len(text), maxTextBytes)]
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

func appendList(b []byte, z aggregate.Zone) []byte {
	b = appendText(b, z.Name)
	instances := z.Instances[:min(len(z.Instances), maxInstances)]
	b = binary.AppendUvarint(b, uint64(len(instances)))
	for _, i := range instances {
		b = binary.LittleEndian.AppendUint32(b, i.Hash)
		flags := byte(i.State)
		if i.StoreUnreachable {
			flags |= instanceFlags
		}
		b = append(b, flags)
	}
	return b
}

func appendMember(b []byte, m member.Member) []byte {
	for _, text := range memberTexts(&m) {
		b = appendText(b, *text)
	}
	b = binary.AppendUvarint(b, uint64(max(m.Incarnation, 0)))
	b = binary.AppendUvarint(b, uint64(max(m.Beat, 0)))
	return append(b, byte(m.State))
}

// memberTexts returns the texts of a member in the order of the datagram.
func memberTexts(m *member.Member) []*string {
	return []*string{&m.Name, &m.Region, &m.Zone, &m.Peer, &m.Caller, &m.Operator, &m.Exchange}
}

// decodeDigest decodes a digest. Its upstreams are hashes.
func decodeDigest(data []byte) (digest, error) {
	r := &reader{data: data}
	d := digest{Format: r.bytes(1)[0]}
	if d.Format < summaryFormat || d.Format > probeFormat {
		return digest{}, errors.Errorf("digest has format %d, expected %d to %d", d.Format, summaryFormat, probeFormat)
	}
	d.Sender = r.text()
	d.State = member.State(r.bytes(1)[0])
	d.StoreUnreachable = r.bytes(1)[0] != 0
	d.Sequence = r.uvarint()
	d.Version = int64(r.count(math.MaxInt64))
	d.RosterMark = int64(r.count(math.MaxInt64))
	d.Followed = r.bytes(1)[0] != 0
	d.Scope = scope(r.bytes(1)[0])
	d.Part, d.Parts = int(r.bytes(1)[0]), int(r.bytes(1)[0])
	d.Age = time.Duration(r.count(int(time.Minute/time.Millisecond))) * time.Millisecond
	for range r.count(maxLists) {
		d.Lists = append(d.Lists, r.list())
	}
	for range r.count(maxLoads) {
		rep := balancer.Report{Upstream: string(r.bytes(hashBytes))}
		rep.Counts.Running = r.count(maxCount)
		rep.Counts.Pending = r.count(maxCount) * pendingUnit
		if d.Scope != restScope {
			rep.Counts.Tokens = r.count(maxCount) * tokensUnit
			decodeGapRatio(r.bytes(1)[0], &rep)
		}
		d.Loads = append(d.Loads, rep)
	}
	d.Placements = r.placements()
	for range r.count(maxNews) {
		d.News = append(d.News, r.member())
	}
	if r.malformed || len(r.data) > 0 {
		return digest{}, errMalformed
	}
	return d, nil
}

func (r *reader) text() string {
	return string(r.bytes(r.count(maxTextBytes)))
}

func (r *reader) list() aggregate.Zone {
	z := aggregate.Zone{Name: r.text()}
	for range r.count(maxInstances) {
		i := aggregate.Instance{Hash: binary.LittleEndian.Uint32(r.bytes(4))}
		flags := r.bytes(1)[0]
		i.State, i.StoreUnreachable = member.State(flags&^instanceFlags), flags&instanceFlags != 0
		z.Instances = append(z.Instances, i)
	}
	return z
}

func (r *reader) member() member.Member {
	var m member.Member
	for _, text := range memberTexts(&m) {
		*text = r.text()
	}
	// An incarnation is a time in nanoseconds and exceeds maxCount.
	m.Incarnation = int64(r.uvarint() & (1<<63 - 1))
	m.Beat = int64(r.count(math.MaxInt64))
	m.State = member.State(r.bytes(1)[0])
	return m
}
