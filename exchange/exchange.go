// Package exchange sends datagrams to the other instances, several times a
// second. A report holds how many requests this instance has at each
// upstream, which prompt parts it sent to which upstream, and the versions of
// the configuration and the roster that it uses. The counts and versions of a
// lost datagram are replaced by the next one; its placements are not sent again.
//
// In a small fleet each instance sends its reports to all others. In a large one the
// reports are summed by availability zone, as package aggregate decides.
package exchange

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/aggregate"
	"knapweedwell/background"
	"knapweedwell/balancer"
	"knapweedwell/follow"
	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/roster"
)

const (
	period           = 200 * time.Millisecond
	maxDatagramBytes = 8192
	// alertInstances is the number of instances that watch the store with short
	// waits, so that a lost watch is noticed within one short wait.
	alertInstances = 2
	// maxTriedInstances is the number of instances, in the order of Role, that try at once
	// to reach a store that does not answer those before them. The others save calls: the
	// store is then probably down for all.
	maxTriedInstances = 12
	// silenceTimeout is how long nothing may be received from an instance that sends to
	// all others in each round before it counts as not running.
	silenceTimeout = 900 * time.Millisecond
	// extraRoundTimeout is added to silenceTimeout for each further round that it
	// takes to send to all others.
	extraRoundTimeout = period * 3 / 2
	// suspensionTime is the time between two rounds from which this process was
	// suspended.
	suspensionTime = time.Second
)

// lastReport is the state of an instance in its most recent datagram.
type lastReport struct {
	identity         string
	sequence         uint64
	state            member.State
	storeUnreachable bool
	at               time.Time // when the datagram was received
}

// Service sends and receives datagrams. The exported fields are set before Run.
type Service struct {
	Self    string
	Zone    string
	Regions map[string]string // regions by zone
	Address string
	Bind    string // listen address, if the others reach this instance at a different one
	Listen  func(network, address string) (net.PacketConn, error)
	// Members returns the instances that are known, this one included.
	Members func() []member.Member
	// Member returns one of them by name.
	Member func(name string) (member.Member, bool)
	Peers  *peer.Node
	Picker *balancer.Picker
	Roster func() *roster.Roster
	// EngineMemory returns the memory of an upstream's engine in tokens.
	EngineMemory func(upstream string) (int, bool)
	// Version and Position return the version of the configuration and the position of
	// the roster that this instance has.
	Version  func() int64
	Position func() roster.Position
	// StoreUnreachable reports whether the store did not answer the last call of this
	// instance, and LastFailure when that was.
	StoreUnreachable func() bool
	LastFailure      func() time.Time
	// AnswerAges returns how old the newest answer of the store may be at an instance that follows
	// it: while the store answers, and when the instance reports that it does not. Nil means that
	// the reports are not asked for the store's answers.
	AnswerAges func() (usual, most time.Duration)
	// News returns the members that changed recently, and MergeNews applies those of
	// another instance. FetchMembers fetches all members of the instance at an address.
	News         func() []member.Member
	MergeNews    func(news []member.Member)
	FetchMembers func(peerAddress string)
	// OnReport is called with the version and the position of the roster that a peer
	// reports.
	OnReport func(peerAddress string, version int64, position roster.Position)
	Facts    Facts  // facts about prompt parts; nil if they are not shared
	Limits   Limits // limits of upstreams; nil if they are not shared
	Usage    Usage  // counts of requests; nil if they are not shared
	Log      logrus.FieldLogger

	conn      net.PacketConn
	started   time.Time
	mu        sync.Mutex
	reports   map[string]lastReport // most recent reports by the name of the sender
	addresses map[string]net.Addr   // resolved addresses of members
	sequence  uint64
	lastRound time.Time
	resumedAt time.Time         // when a suspension of this process was noticed
	heard     bool              // whether a peer was heard in the most recent round
	own       placementLog      // placements of this instance
	ids       map[string]string // IDs of upstreams by their hashes
	idsRoster *roster.Roster    // roster that ids belongs to
	fleet     aggregation
	// unfollowedAt is since when too few of the instances before this one reach the
	// store, zero if enough do.
	unfollowedAt time.Time
	storeAnswers storeAnswers
	logged       beliefs // as in the most recent round
	sharing      *sharing
	limits       limitSharing
	counts       usageSharing
	refreshing   atomic.Bool // whether facts are being fetched again
	sent         atomic.Int64
	received     atomic.Int64
	sentBytes    atomic.Int64
	group        background.Group
}

// Run starts sending and receiving datagrams.
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
	s.started = time.Now()
	s.logged.rank = -1
	s.reports = map[string]lastReport{}
	s.addresses = map[string]net.Addr{}
	s.fleet = newAggregation(s.Zone)
	if s.sharing == nil {
		s.sharing = newSharing()
	}
	s.group.Every(period, func(context.Context, time.Time) { s.round() })
	s.group.Go(func(context.Context) { s.receive() })
	s.group.Go(s.fetchPlacements)
	s.group.Go(s.shareChanges)
	return nil
}

// Close stops sending and receiving.
func (s *Service) Close() error {
	s.group.Abort()
	err := s.conn.Close()
	s.group.Close()
	return err
}

// Counts holds the numbers of datagrams since the start.
type Counts struct {
	Sent      int64
	Received  int64
	SentBytes int64
}

// Counts returns the numbers of datagrams sent and received.
func (s *Service) Counts() Counts {
	return Counts{Sent: s.sent.Load(), Received: s.received.Load(), SentBytes: s.sentBytes.Load()}
}

// round sends the datagrams of one round.
func (s *Service) round() {
	now := time.Now()
	plan, round := s.updatePlan(now)
	s.recordStoreAnswers(now)
	s.logChanges(plan)
	s.checkFacts(now)
	s.roundFacts(now, plan, round)
	s.roundLimits(now, plan, round)
	reports, placements := s.Picker.Reports(now)
	s.mu.Lock()
	s.own.add(placements)
	s.mu.Unlock()
	if plan.Aggregated() {
		s.roundAggregated(now, plan, round, reports)
		return
	}
	for _, p := range plan.DirectRound(round) {
		s.sendReport(p, reports, true)
	}
}

// updatePlan calculates to whom this instance sends now, and returns the number of the
// round.
func (s *Service) updatePlan(now time.Time) (aggregate.Plan, int) {
	members := s.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastRound.IsZero() && now.Sub(s.lastRound) > suspensionTime {
		s.fleet.silence.Reset()
		s.resumedAt = now
	}
	s.lastRound = now
	s.fleet.round++
	s.fleet.plan = aggregate.NewPlan(s.Self, members, func(name string) bool { return s.fleet.silence.Silent(now, name) })
	s.fleet.expect(now)
	return s.fleet.plan, s.fleet.round
}

// sendReport sends the report of this instance to a peer.
func (s *Service) sendReport(to member.Member, reports []balancer.Report, placements bool) {
	position := s.Position()
	m := message{
		Sender:           s.Self,
		State:            s.state(),
		StoreUnreachable: s.StoreUnreachable(),
		Version:          s.Version(),
		RosterMark:       position.Mark,
		Reports:          reports,
	}
	s.mu.Lock()
	s.sequence++
	m.Sequence = sequenceIn(position.Era, s.sequence)
	if placements {
		m.Placements = s.own.unsent(to.Name, maxSentPlacements)
	}
	s.mu.Unlock()
	s.send(to, encode(m))
}

// send sends a datagram to a peer.
func (s *Service) send(to member.Member, data []byte) {
	s.mu.Lock()
	address := s.addresses[to.Exchange]
	s.mu.Unlock()
	if address == nil {
		resolved, err := net.ResolveUDPAddr("udp", to.Exchange)
		if err != nil {
			s.Log.WithFields(logrus.Fields{"Peer": to.Name, "Error": err.Error()}).Warn("address of a peer cannot be used")
			return
		}
		address = resolved
		s.mu.Lock()
		s.addresses[to.Exchange] = address
		s.mu.Unlock()
	}
	if _, err := s.conn.WriteTo(data, address); err == nil {
		s.sent.Add(1)
		s.sentBytes.Add(int64(len(data)))
	}
}

// state returns the state of this instance.
func (s *Service) state() member.State {
	m, _ := s.Member(s.Self)
	return m.State
}

// SendNow sends the state of this instance at once, after it has changed, so that
// its peers receive the change early.
func (s *Service) SendNow() {
	s.mu.Lock()
	plan := s.fleet.plan
	s.mu.Unlock()
	if plan.Aggregated() {
		s.notify(plan)
		return
	}
	reports, _ := s.Picker.Reports(time.Now())
	for _, p := range plan.Direct {
		s.sendReport(p, reports, false)
	}
}

// Push sends the versions of this instance at once after they have changed, if the
// others learn of changes from this instance.
func (s *Service) Push() {
	s.mu.Lock()
	aggregated, acting := s.fleet.plan.Aggregated(), s.fleet.acting()
	s.mu.Unlock()
	if acting || (!aggregated && s.Role() == follow.Alert) {
		s.SendNow()
	}
}
