package revision

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/config"
	"knapweedwell/invariant"
	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/platform"
	standin "knapweedwell/standin/platform"
)

// eraFleet is a number of managers that share a store. Nothing runs in the background: tests
// call the steps.
type eraFleet struct {
	t        *testing.T
	store    *standin.Server
	managers []*Manager
}

func newEraFleet(t *testing.T, n int) *eraFleet {
	return newEraFleetOf(t, standin.New(), n)
}

func newEraFleetOf(t *testing.T, store *standin.Server, n int) *eraFleet {
	fl := &eraFleet{t: t, store: store}
	server := httptest.NewServer(fl.store.Handler())
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	dial := (&net.Dialer{}).DialContext
	var members []member.Member
	for i := range n {
		name := fmt.Sprintf("entry-%d", i+1)
		node := &peer.Node{Name: name, Address: "127.0.0.1:0", Key: "k", Dial: dial, Listen: net.Listen, Log: log}
		m := &Manager{
			Platform: platform.New(strings.TrimPrefix(server.URL, "http://"), dial), Peers: node, Log: log, Check: &invariant.Checker{Panic: true},
			Silence: func() (time.Duration, bool) { return 0, false },
			Others: func() []member.Member {
				var others []member.Member
				for _, o := range members {
					if o.Name != name {
						others = append(others, o)
					}
				}
				return others
			},
		}
		m.Prepare()
		assert.NilError(t, node.Run(nil))
		t.Cleanup(func() { _ = node.Close() })
		members = append(members, member.Member{Name: name, Peer: node.Address})
		fl.managers = append(fl.managers, m)
	}
	return fl
}

// text returns a configuration that differs from the others by its number.
func text(n int) string {
	return fmt.Sprintf("[Region R]\n[Tier A]\nRank = 1\n[Class C]\nTier = A\nWhole = %ds\n[Organisation O]\nKeySHA256 = %s\nDefaultClass = C\nClasses = C\n", n, config.HashKey("k"))
}

// apply applies the configuration with a number at an instance.
func (fl *eraFleet) apply(i, n int) *Result {
	fl.t.Helper()
	r, err := fl.managers[i].Apply(fl.t.Context(), Change{ChangeID: fmt.Sprint(n), Base: -1, Author: "operator", Text: text(n)})
	assert.NilError(fl.t, err)
	return r
}

// read installs what the store has.
func (fl *eraFleet) read(i int) {
	o, err := fl.managers[i].Platform.Get(fl.t.Context(), objectKind, objectName)
	assert.NilError(fl.t, err)
	assert.NilError(fl.t, fl.managers[i].installObject(o))
}

// start applies the first configuration everywhere, and the second at the first instance only,
// after the store has taken a copy.
func (fl *eraFleet) start() (second *Result) {
	assert.Equal(fl.t, fl.apply(0, 1).Outcome, Applied)
	for i := range fl.managers {
		fl.read(i)
	}
	time.Sleep(600 * time.Millisecond)
	second = fl.apply(0, 2)
	assert.Equal(fl.t, second.Outcome, Applied)
	return second
}

// restore loses the second configuration.
func (fl *eraFleet) restore() {
	fl.store.Restore(300*time.Millisecond, -1)
}

// inForce fails the test unless an instance has the configuration with a number.
func (fl *eraFleet) inForce(i, n int) {
	fl.t.Helper()
	assert.Equal(fl.t, fl.managers[i].Current().Text, text(n))
}

// TestLostChangeFoundBeforeNext guards against a change that is applied to the copy although
// another instance has a confirmed one that the store lost.
func TestLostChangeFoundBeforeNext(t *testing.T) {
	for _, first := range []int64{0, 1, 7} {
		fl := newEraFleetOf(t, standin.NewInEra(first), 2)
		second := fl.start()
		fl.restore()
		fl.read(1) // tells the era
		r := fl.apply(1, 3)
		assert.Equal(t, r.Outcome, Applied, r.Reason)
		assert.Assert(t, r.Revision > second.Revision, "first era %d", first)
		fl.inForce(1, 3)
		assert.Assert(t, fl.managers[1].Current().record.contains("2"))
		fl.read(0)
		fl.inForce(0, 3)
	}
}

// TestNoChangeWhileOneIsSilent guards against a change that is applied while an instance that
// may hold a newer configuration does not answer.
func TestNoChangeWhileOneIsSilent(t *testing.T) {
	fl := newEraFleet(t, 2)
	fl.start()
	fl.restore()
	fl.read(1)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	fl.managers[1].Others = func() []member.Member {
		return []member.Member{{Name: "entry-1", Peer: silent.Addr().String()}}
	}
	r := fl.apply(1, 3)
	assert.Equal(t, r.Outcome, NotSaved)
	assert.Assert(t, strings.Contains(r.Reason, "entry-1"), r.Reason)
	fl.inForce(1, 1)
}

// TestChangeWrittenDuringRestore guards against a change that was written to the copy by an
// instance that had not learned of the restore: it does not replace a confirmed one, and its
// outcome is unclear.
func TestChangeWrittenDuringRestore(t *testing.T) {
	fl := newEraFleet(t, 2)
	fl.start()
	late := fl.managers[1]
	ctx := t.Context()
	known := late.noticeEra()
	old, err := late.readStored(ctx)
	assert.NilError(t, err)
	fl.restore()
	copied, err := fl.managers[0].readStored(ctx) // tells the first instance the era
	assert.NilError(t, err)
	old.revision, old.storeRevision, old.record = copied.revision, copied.storeRevision, copied.record
	r, err := late.write(ctx, Change{ChangeID: "3", Text: text(3)}, known, old)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, Unclear)
	fl.inForce(1, 2)
	fl.read(0)
	fl.inForce(0, 2)
	stored, err := late.readStored(ctx)
	assert.NilError(t, err)
	assert.Equal(t, stored.text, text(2))
}

// TestBranchNotInstalled guards against a configuration without a confirmed change that is
// installed because its number is higher.
func TestBranchNotInstalled(t *testing.T) {
	fl := newEraFleet(t, 1)
	fl.start()
	m := fl.managers[0]
	fl.restore()
	_, err := m.Platform.Get(t.Context(), objectKind, objectName) // tells the era
	assert.NilError(t, err)
	branch, err := newRecord(text(3), []Entry{{ChangeID: "3"}, {ChangeID: "1"}})
	assert.NilError(t, err)
	assert.NilError(t, m.install(m.Revision()+5, branch))
	fl.inForce(0, 2)
	branch.Era = 2
	assert.NilError(t, m.install(branch.revisionIn(9), branch))
	fl.inForce(0, 3)
}
