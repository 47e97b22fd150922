package exchange

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"

	"knapweedwell/balancer"
	"knapweedwell/member"
	"knapweedwell/roster"
)

const (
	formatVersion = 2
	hashBytes     = 4
	maxNameBytes  = 64
	gapRatioScale = 64  // steps per unit of the logarithm of a gap ratio
	maxEntries    = 400 // entries of one kind in one datagram
	// eraShift is the number of bits below the era of the store in a sequence number.
	// Earlier builds read the number as a whole.
	eraShift = 32
	eras     = 1 << 31 // that a sequence number tells apart
)

// message is one datagram.
type message struct {
	Sender           string
	State            member.State
	StoreUnreachable bool   // set if the store does not answer the sender
	Sequence         uint64 // rises with each message of a sender; holds the era of the roster
	Version          int64  // version of the sender's configuration
	RosterMark       int64  // mark of the sender's roster: a number that rises with each of its changes in an era
	Reports          []balancer.Report
	Placements       []balancer.Placement
}

// encode encodes a message, with the hashes of the upstreams in place of their
// IDs. Reports and placements beyond maxEntries are omitted.
func encode(m message) []byte {
	b := []byte{formatVersion}
	b = binary.AppendUvarint(b, uint64(len(m.Sender)))
	b = append(b, m.Sender...)
	b = append(b, byte(m.State), boolByte(m.StoreUnreachable))
	b = binary.AppendUvarint(b, m.Sequence)
	b = binary.AppendUvarint(b, uint64(max(m.Version, 0)))
	b = binary.AppendUvarint(b, uint64(max(m.RosterMark, 0)))
	reports := m.Reports[:min(len(m.Reports), maxEntries)]
	b = binary.AppendUvarint(b, uint64(len(reports)))
	for _, r := range reports {
		b = append(b, upstreamHash(r.Upstream)...)
		b = binary.AppendUvarint(b, uint64(max(r.Counts.Running, 0)))
		b = binary.AppendUvarint(b, uint64(max(r.Counts.Pending, 0)))
		b = binary.AppendUvarint(b, uint64(max(r.Counts.Tokens, 0)))
		b = append(b, encodeGapRatio(r))
	}
	return appendPlacements(b, m.Placements)
}

// sequenceIn returns a sequence number that holds the era of the sender's roster, modulo eras.
func sequenceIn(era int64, n uint64) uint64 {
	return uint64(era%eras)<<eraShift | n&(1<<eraShift-1)
}

// positionIn returns the position of the sender's roster in a datagram. Of the eras that may be
// meant it is the one next to that of this instance.
func positionIn(sequence uint64, mark, own int64) roster.Position {
	ahead := (int64(sequence>>eraShift) - own%eras + eras) % eras
	if behind := eras - ahead; behind < ahead && behind <= own {
		return roster.Position{Era: own - behind, Mark: mark}
	}
	return roster.Position{Era: own + ahead, Mark: mark}
}

// outdated reports whether a sequence number is not above the last one of a sender. It falls where
// the era passes a multiple of eras.
func outdated(sequence, last uint64) bool {
	return sequence <= last && last-sequence < eras<<eraShift/2
}

// appendPlacements encodes placements, with hashes in place of the IDs of upstreams.
func appendPlacements(b []byte, placements []balancer.Placement) []byte {
	placements = placements[:min(len(placements), maxEntries)]
	b = binary.AppendUvarint(b, uint64(len(placements)))
	for _, p := range placements {
		b = append(b, upstreamHash(p.Upstream)...)
		b = binary.LittleEndian.AppendUint64(b, p.Part)
		b = binary.AppendUvarint(b, uint64(max(p.Tokens, 0)))
	}
	return b
}

// encodeGapRatio returns the gap ratio of a report in one byte; zero means that
// there is none.
func encodeGapRatio(r balancer.Report) byte {
	if !r.HasGapRatio {
		return 0
	}
	return byte(min(max(math.Round(r.LogGapRatio*gapRatioScale), -math.MaxInt8), math.MaxInt8) - math.MinInt8)
}

// decodeGapRatio sets the gap ratio of a report from its byte.
func decodeGapRatio(b byte, r *balancer.Report) {
	if r.HasGapRatio = b != 0; r.HasGapRatio {
		r.LogGapRatio = float64(int(b)+math.MinInt8) / gapRatioScale
	}
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

var errMalformed = errors.New("malformed datagram: truncated, count out of bounds or bytes left over")

// reader reads the fields of a datagram and records whether one was truncated
// or out of bounds.
type reader struct {
	data      []byte
	malformed bool
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *reader) count(limit int) int {
	n := r.uvarint()
	if n > uint64(limit) {
		r.malformed = true
		return 0
	}
	return int(n)
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.data) {
		r.malformed = true
		return make([]byte, n)
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

// placements reads placements, whose upstreams are hashes.
func (r *reader) placements() []balancer.Placement {
	var placements []balancer.Placement
	for range r.count(maxEntries) {
		p := balancer.Placement{Upstream: string(r.bytes(hashBytes))}
		p.Part = binary.LittleEndian.Uint64(r.bytes(8))
		p.Tokens = r.count(maxCount)
		placements = append(placements, p)
	}
	return placements
}

// maxCount bounds the counts and token numbers in a datagram. A datagram with a larger one is
// invalid.
const maxCount = 1 << 40

// decode decodes a datagram. The upstreams in the message are hashes.
func decode(data []byte) (message, error) {
	r := &reader{data: data}
	if v := r.bytes(1); v[0] != formatVersion {
		return message{}, errors.Errorf("datagram has format %d, expected %d", v[0], formatVersion)
	}
	m := message{Sender: string(r.bytes(r.count(maxNameBytes)))}
	m.State = member.State(r.bytes(1)[0])
	m.StoreUnreachable = r.bytes(1)[0] != 0
	m.Sequence = r.uvarint()
	m.Version = int64(r.count(math.MaxInt64))
	m.RosterMark = int64(r.count(math.MaxInt64))
	for range r.count(maxEntries) {
		rep := balancer.Report{Upstream: string(r.bytes(hashBytes))}
		rep.Counts.Running = r.count(maxCount)
		rep.Counts.Pending = r.count(maxCount)
		rep.Counts.Tokens = r.count(maxCount)
		decodeGapRatio(r.bytes(1)[0], &rep)
		m.Reports = append(m.Reports, rep)
	}
	m.Placements = r.placements()
	if r.malformed || len(r.data) > 0 {
		return message{}, errMalformed
	}
	return m, nil
}
