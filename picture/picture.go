// Package picture tells the other instances, several times a second, how many
// requests this instance has at each upstream, which prompt parts it sent where,
// and which configuration and roster it knows. It uses datagrams: a lost one is
// made good by the next.
package picture

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/background"
	"knapweedwell/follow"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/pick"
	"knapweedwell/roster"
)

const (
	period      = 200 * time.Millisecond
	maxPeers    = 12                     // maxPeers bounds the instances told in one round.
	maxKept     = 512                    // maxKept bounds the placements that are held for peers.
	maxTold     = 60                     // maxTold bounds the placements in one datagram.
	maxDatagram = 8192                   // maxDatagram bounds what is read at once.
	alert       = 2                      // alert is the number of instances that notice a watch which hears nothing.
	followers   = 4                      // followers is the number of instances that follow the store at all.
	silence     = 900 * time.Millisecond // silence is how long nothing may be heard of an instance that tells all others in each round.
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
	Bind    string // Bind is the address to listen at if others reach this instance at another one.
	Listen  func(network, address string) (net.PacketConn, error)
	// Members returns the instances that are known, this one included.
	Members func() []member.Member
	// Member returns one of them by name.
	Member func(name string) (member.Member, bool)
	Peers  *peer.Node
	Picker *pick.Picker
	Roster func() *roster.Roster
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

	conn       net.PacketConn
	mu         sync.Mutex
	heard      map[string]heard // heard holds what came last, by the sender's name.
	number     uint64
	turn       int               // turn is where the next round begins among the peers.
	placed     []pick.Placement  // placed holds the latest placements.
	dropped    int               // dropped counts the placements that are no longer held.
	ids        map[string]string // ids are the IDs of upstreams by their hashes.
	identified *roster.Roster    // identified is the roster that ids belong to.
	told       map[string]int    // told counts the placements that each peer was told or missed.
	sent       atomic.Int64
	received   atomic.Int64
	group      background.Group
}

// Run starts to tell and to hear.
func (s *Service) Run(*kernel.Kernel) error {
	bind := s.Bind
	if bind == "" {
		bind = s.Address
	}
	conn, err := s.Listen("udp", bind)
	if err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	s.conn = conn
	s.heard = map[string]heard{}
	s.told = map[string]int{}
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

// tell sends one report to the others, in a large fleet to some of them in turn.
func (s *Service) tell() {
	reports, placed := s.Picker.Reports(time.Now())
	s.mu.Lock()
	s.number++
	number := s.number
	s.keep(placed)
	s.mu.Unlock()
	m := message{
		Sender:  s.Self,
		State:   s.state(),
		Away:    s.Away(),
		Number:  number,
		Version: s.Version(),
		Changes: s.Changes(),
		Reports: reports,
	}
	for _, p := range s.peers() {
		to, err := net.ResolveUDPAddr("udp", p.Exchange)
		if err != nil {
			s.Log.WithFields(logrus.Fields{"Peer": p.Name, "Error": err.Error()}).Warn("address of a peer cannot be used")
			continue
		}
		m.Placed = s.news(p.Name)
		if _, err := s.conn.WriteTo(encode(m), to); err == nil {
			s.sent.Add(1)
		}
	}
}

// keep adds placements to those that peers are told. The lock is held.
func (s *Service) keep(placed []pick.Placement) {
	s.placed = append(s.placed, placed...)
	if over := len(s.placed) - maxKept; over > 0 {
		s.placed = append([]pick.Placement(nil), s.placed[over:]...)
		s.dropped += over
	}
}

// news returns the placements that a peer was not told yet.
func (s *Service) news(peer string) []pick.Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := max(s.told[peer]-s.dropped, 0)
	placed := s.placed[from:]
	placed = placed[:min(len(placed), maxTold)]
	s.told[peer] = s.dropped + from + len(placed)
	return placed
}

// peers returns the instances to be told in this round.
func (s *Service) peers() []member.Member {
	var peers []member.Member
	for _, m := range s.Members() {
		if m.Name != s.Self && m.Exchange != "" && m.State != member.Gone {
			peers = append(peers, m)
		}
	}
	if len(peers) <= maxPeers {
		return peers
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.turn % len(peers)
	s.turn = first + maxPeers
	return append(peers, peers...)[first : first+maxPeers]
}

// state returns what this instance says of itself.
func (s *Service) state() member.State {
	m, _ := s.Member(s.Self)
	return m.State
}

// Role returns how closely this instance follows the store. A few do, the first
// by the hash of their names among those that reach the store; the others learn
// from them. One that does not reach it goes on trying only if it is among the
// first of all.
func (s *Service) Role() follow.Role {
	own, before, patience, away := xxhash.Sum64String(s.Self), 0, s.Patience(), s.Away()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.heard {
		usable := time.Since(h.at) < patience && (h.state == member.Starting || h.state == member.Live)
		if usable && (away || !h.away) && xxhash.Sum64String(name) < own {
			before++
		}
	}
	switch {
	case before < alert, away && before < followers:
		return follow.Alert
	case before < followers:
		return follow.Relaxed
	}
	return follow.Idle
}

// Patience returns how long nothing may be heard of an instance until it is taken
// not to run: longer where a round tells only a part of the others.
func (s *Service) Patience() time.Duration {
	rounds := (len(s.Members()) - 2 + maxPeers) / maxPeers
	return silence + time.Duration(max(rounds-1, 0))*period*3/2
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
	from, known := s.Member(m.Sender)
	if !known || from.Name == s.Self {
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
	ids := s.identify(r)
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

// identify returns the IDs of a roster's upstreams by their hashes. They are
// worked out once for each roster.
func (s *Service) identify(r *roster.Roster) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.identified == r {
		return s.ids
	}
	s.identified, s.ids = r, make(map[string]string, len(r.Entries))
	for id := range r.Entries {
		s.ids[hash(id)] = id
	}
	return s.ids
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
