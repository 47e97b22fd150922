package picture

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"

	"knapweedwell/member"
	"knapweedwell/pick"
)

const (
	formatVersion = 2
	hashBytes     = 4
	maxName       = 64
	paceScale     = 64  // paceScale is the steps of a pace in one unit of its logarithm.
	maxEntries    = 400 // maxEntries bounds the entries of a kind in one datagram.
)

// message is one datagram.
type message struct {
	Sender  string
	State   member.State
	Away    bool   // Away tells that the store does not answer the sender.
	Number  uint64 // Number rises with each message of a sender.
	Version int64  // Version is that of the sender's configuration.
	Changes int64  // Changes is the revision of the sender's roster.
	Reports []pick.Report
	Placed  []pick.Placement
}

// encode writes the upstreams of the message by their hashes.
func encode(m message) []byte {
	b := []byte{formatVersion}
	b = binary.AppendUvarint(b, uint64(len(m.Sender)))
	b = append(b, m.Sender...)
	b = append(b, byte(m.State), flag(m.Away))
	b = binary.AppendUvarint(b, m.Number)
	b = binary.AppendUvarint(b, uint64(max(m.Version, 0)))
	b = binary.AppendUvarint(b, uint64(max(m.Changes, 0)))
	reports, placed := m.Reports[:min(len(m.Reports), maxEntries)], m.Placed[:min(len(m.Placed), maxEntries)]
	b = binary.AppendUvarint(b, uint64(len(reports)))
	for _, r := range reports {
		b = append(b, hash(r.Upstream)...)
		b = binary.AppendUvarint(b, uint64(max(r.Counts.Running, 0)))
		b = binary.AppendUvarint(b, uint64(max(r.Counts.Pending, 0)))
		b = binary.AppendUvarint(b, uint64(max(r.Counts.Tokens, 0)))
		b = append(b, writePace(r))
	}
	b = binary.AppendUvarint(b, uint64(len(placed)))
	for _, p := range placed {
		b = append(b, hash(p.Upstream)...)
		b = binary.LittleEndian.AppendUint64(b, p.Part)
		b = binary.AppendUvarint(b, uint64(max(p.Tokens, 0)))
	}
	return b
}

// writePace returns the pace of a report in one byte; zero means that there is
// none.
func writePace(r pick.Report) byte {
	if !r.Paced {
		return 0
	}
	return byte(min(max(math.Round(r.Pace*paceScale), -math.MaxInt8), math.MaxInt8) - math.MinInt8)
}

// readPace sets the pace of a report.
func readPace(b byte, r *pick.Report) {
	if r.Paced = b != 0; r.Paced {
		r.Pace = float64(int(b)+math.MinInt8) / paceScale
	}
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

var errMalformed = errors.New("malformed datagram")

// reader reads a datagram and remembers whether it was too short.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.bad = true
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *reader) count(limit int) int {
	n := r.number()
	if n > uint64(limit) {
		r.bad = true
		return 0
	}
	return int(n)
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.data) {
		r.bad = true
		return make([]byte, n)
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

const maxCount = 1 << 40 // maxCount bounds the numbers that are believed.

// decode reads a datagram. Its upstreams are hashes.
func decode(data []byte) (message, error) {
	r := &reader{data: data}
	if v := r.bytes(1); v[0] != formatVersion {
		return message{}, errors.Errorf("datagram of format %d", v[0])
	}
	m := message{Sender: string(r.bytes(r.count(maxName)))}
	m.State = member.State(r.bytes(1)[0])
	m.Away = r.bytes(1)[0] != 0
	m.Number = r.number()
	m.Version = int64(r.count(maxCount))
	m.Changes = int64(r.count(maxCount))
	for range r.count(maxEntries) {
		rep := pick.Report{Upstream: string(r.bytes(hashBytes))}
		rep.Counts.Running = r.count(maxCount)
		rep.Counts.Pending = r.count(maxCount)
		rep.Counts.Tokens = r.count(maxCount)
		readPace(r.bytes(1)[0], &rep)
		m.Reports = append(m.Reports, rep)
	}
	for range r.count(maxEntries) {
		p := pick.Placement{Upstream: string(r.bytes(hashBytes))}
		p.Part = binary.LittleEndian.Uint64(r.bytes(8))
		p.Tokens = r.count(maxCount)
		m.Placed = append(m.Placed, p)
	}
	if r.bad || len(r.data) > 0 {
		return message{}, errMalformed
	}
	return m, nil
}
