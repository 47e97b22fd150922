package heartbeat

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"knapweedwell/member"
	"knapweedwell/peer"
	"knapweedwell/platform"
	standin "knapweedwell/standin/platform"
)

// TestRegister counts the calls to the store for the entry of an instance: one at
// the first start and at a restart, two if an address has changed.
func TestRegister(t *testing.T) {
	store := standin.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := func(incarnation int64, caller string) int64 {
		client := platform.New(strings.TrimPrefix(server.URL, "http://"), (&net.Dialer{}).DialContext)
		defer client.Close()
		s := &Service{
			Self:  member.Member{Name: "entry-1", Incarnation: incarnation, Caller: caller},
			Peers: &peer.Node{Address: "10.1.0.1:2"}, Platform: client, Log: log,
		}
		assert.Assert(t, s.register(context.Background()))
		return client.Calls()
	}
	assert.Equal(t, start(1, "10.1.0.1:1"), int64(1))
	assert.Equal(t, start(2, "10.1.0.1:1"), int64(1))
	assert.Equal(t, start(3, "10.1.0.9:1"), int64(2))
	assert.Equal(t, start(4, "10.1.0.9:1"), int64(1))
}

// TestFailedRemovalIsLogged guards against a removal in the store that failed and is
// logged as done.
func TestFailedRemovalIsLogged(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	client := platform.New("", func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed })
	defer client.Close()
	s := &Service{Platform: client, Log: log}
	s.removeEntry(t.Context(), platform.Object{Name: "gone", Revision: 3})
	assert.Equal(t, len(hook.AllEntries()), 1)
	assert.Equal(t, hook.LastEntry().Message, "entry of a gone instance was not removed")
	assert.Equal(t, hook.LastEntry().Level, logrus.WarnLevel)
}
