package roster

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/peer"
	"knapweedwell/route"
)

// TestRefusedChangesBringWholeList guards against an instance that asks a peer of an earlier build, which
// takes era 0 for any era, for the same changes again and again and never takes them.
func TestRefusedChangesBringWholeList(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	node := func(name string) *peer.Node {
		n := &peer.Node{Name: name, Address: "127.0.0.1:0", Key: "k", Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log}
		t.Cleanup(func() { assert.NilError(t, n.Close()) })
		return n
	}
	asked := 0
	other := node("entry-1")
	other.Handle(fetchMethod, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		asked++
		var req fetchRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		return fetchReply{Era: 1, Mark: 7 << localMarkBits, Revision: 7, Whole: req.After == 0, Entries: []route.Upstream{*entry("b", false)}}, nil
	})
	assert.NilError(t, other.Run(nil))
	s := &Service{Peers: node("entry-2"), Log: log}
	s.Prepare()
	assert.NilError(t, s.Peers.Run(nil))
	s.update(true, func(l *entryList) bool { return l.replaceAll(l.retainUntil, 5, []*route.Upstream{entry("a", false)}) })
	s.fetch(t.Context(), other.Address)
	assert.Assert(t, s.Current().Accepts("b"))
	assert.Equal(t, s.Position(), Position{Era: 1, Mark: 7 << localMarkBits})

	assert.Equal(t, s.Refused(), int64(1))
	assert.Equal(t, asked, 2)
}
