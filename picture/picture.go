// Package picture tells the other instances, several times a second, how many
// requests this instance has at each upstream, which prompt parts it sent where,
// and which configuration and roster it knows. It uses datagrams: a lost one is
// made good by the next.
package picture

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/pick"
	"knapweedwell/roster"
)

const (
	period      = 200 * time.Millisecond
	maxPeers    = 12   // maxPeers bounds the instances told in one round.
	maxDatagram = 8192 // maxDatagram bounds what is read at once.
	watchers    = 2    // watchers is the number of instances that notice a watch which hears nothing.
	heardLimit  = 900 * time.Millisecond
)

// heard is what came last from an instance.
type heard struct {
	identity string
	number   uint64
	state    member.State
	away     bool
	at       time.Time
}

// Service tells and hears. The exported fields are set before Run.
type Service struct {
	Self    string
	Address string
	Listen  func(network, address string) (net.PacketConn, error)
	// Members returns the instances that are known, this one included.
	Members func() []member.Member
	Peers   *peer.Node
	Picker  *pick.Picker
	Roster  func() *roster.Roster
	// Memory returns the memory of an upstream's engine in tokens.
	Memory func(upstream string) (int, bool)
	// Version and Changes return what is known here of the configuration and of
	// the roster.
	Version func() int64
	Changes func() int64
	// Away reports whether the store does not answer this instance.
	Away func() bool
	// Ahead is told of what a peer knows.
	Ahead func(peerAddress string, version, changes int64)
	Log   logrus.FieldLogger

	conn     net.PacketConn
	mu       sync.Mutex
	heard    map[string]heard // heard holds what came last, by the sender's name.
	number   uint64
	sent     atomic.Int64
	received atomic.Int64
	group    background.Group
}

// Run starts to tell and to hear.
func (s *Service) Run(*kernel.Kernel) error {
	conn, err := s.Listen("udp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	s.conn = conn
	s.heard = map[string]heard{}
	s.group.Every(period, func(context.Context, time.Time) { s.tell() })
	s.group.Go(func(context.Context) { s.hear() })
	s.group.Go(s.recall)
	return nil
}

// Close stops telling and hearing.
func (s *Service) Close() error {
	s.group.Abort()
	err := s.conn.Close()
	s.group.Close()
	return err
}

// Counts returns the datagrams sent and received.
func (s *Service) Counts() (sent, received int64) {
	return s.sent.Load(), s.received.Load()
}

// tell sends one report to the others, in a large fleet to some of them.
func (s *Service) tell() {
	peers := s.peers()
	if len(peers) == 0 {
		return
	}
	s.mu.Lock()
	s.number++
	number := s.number
	s.mu.Unlock()
	reports, placed := s.Picker.Reports()
	data := encode(message{
		Sender:  s.Self,
		State:   s.state(),
		Away:    s.Away(),
		Number:  number,
		Version: s.Version(),
		Changes: s.Changes(),
		Reports: reports,
		Placed:  placed,
	})
	for _, m := range peers {
		to, err := net.ResolveUDPAddr("udp", m.Exchange)
		if err != nil {
			continue
		}
		if _, err := s.conn.WriteTo(data, to); err == nil {
			s.sent.Add(1)
		}
	}
}

func (s *Service) peers() []member.Member {
	var peers []member.Member
	for _, m := range s.Members() {
		if m.Name != s.Self && m.Exchange != "" && m.State != member.Gone {
			peers = append(peers, m)
		}
	}
	if len(peers) > maxPeers {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:maxPeers]
	}
	return peers
}

// state returns what this instance says of itself.
func (s *Service) state() member.State {
	for _, m := range s.Members() {
		if m.Name == s.Self {
			return m.State
		}
	}
	return member.Starting
}

// Watchful reports whether this instance is one of the few that notice a watch
// which hears nothing: the first by the hash of their names among those that are
// heard and reach the store.
func (s *Service) Watchful() bool {
	if s.Away() {
		return true
	}
	own, before := xxhash.Sum64String(s.Self), 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.heard {
		usable := !h.away && time.Since(h.at) < heardLimit && (h.state == member.Starting || h.state == member.Live)
		if usable && xxhash.Sum64String(name) < own {
			before++
		}
	}
	return before < watchers
}

// Heard returns what an instance last said of itself and how long ago. It
// reports false if nothing was heard of it.
func (s *Service) Heard(name string) (member.State, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.heard[name]
	return h.state, time.Since(h.at), ok
}

// Tell sends a report at once, before something changes here.
func (s *Service) Tell() {
	s.tell()
}

func (s *Service) hear() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFrom(buf)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.Log.WithField("Error", err.Error()).Warn("datagrams are no longer read")
			}
			return
		}
		m, err := decode(buf[:n])
		if err != nil {
			s.Log.WithField("Error", err.Error()).Warn("datagram cannot be read")
			continue
		}
		s.received.Add(1)
		s.take(m)
	}
}

// take takes in a report of a known instance unless a later one came before.
func (s *Service) take(m message) {
	var from member.Member
	for _, known := range s.Members() {
		if known.Name == m.Sender {
			from = known
		}
	}
	if from.Name == "" || from.Name == s.Self {
		return
	}
	identity := from.Identity()
	s.mu.Lock()
	h := s.heard[m.Sender]
	late := h.identity == identity && m.Number <= h.number
	if !late {
		s.heard[m.Sender] = heard{identity: identity, number: m.Number, state: m.State, away: m.Away, at: time.Now()}
	}
	s.mu.Unlock()
	if late {
		return
	}
	s.name(&m)
	s.Picker.Told(time.Now(), m.Sender, m.Reports, m.Placed, s.Memory)
	s.Ahead(from.Peer, m.Version, m.Changes)
}

// name replaces the hashes of upstreams by their IDs.
func (s *Service) name(m *message) {
	r := s.Roster()
	if r == nil {
		m.Reports, m.Placed = nil, nil
		return
	}
	ids := make(map[string]string, len(r.Entries))
	for id := range r.Entries {
		ids[hash(id)] = id
	}
	reports := m.Reports[:0]
	for _, rep := range m.Reports {
		if id, ok := ids[rep.Upstream]; ok {
			rep.Upstream = id
			reports = append(reports, rep)
		}
	}
	placed := m.Placed[:0]
	for _, p := range m.Placed {
		if id, ok := ids[p.Upstream]; ok {
			p.Upstream = id
			placed = append(placed, p)
		}
	}
	m.Reports, m.Placed = reports, placed
}

// hash returns the short form of an upstream's ID that datagrams carry.
func hash(id string) string {
	h := xxhash.Sum64String(id)
	var b [hashBytes]byte
	for i := range b {
		b[i] = byte(h >> (8 * i))
	}
	return string(b[:])
}
