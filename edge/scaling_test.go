package edge

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/kernel"
	"knapweedwell/platform"
	"knapweedwell/roster"
	"knapweedwell/routing"
	"knapweedwell/scaling"
	"knapweedwell/setting"
	"knapweedwell/standin/dutyapi"
	"knapweedwell/usage"
)

// TestPlatformOrders guards against orders that the platform cannot read and refusals that the
// scaling does not know as such.
func TestPlatformOrders(t *testing.T) {
	standIn := &dutyapi.Server{}
	server := httptest.NewServer(standIn)
	defer server.Close()
	api := platform.NewAPI(server.Listener.Addr().String(), (&net.Dialer{}).DialContext)
	defer api.Close()
	orders := &platformOrders{api: api, holder: "front-1"}
	order := scaling.Order{Pool: "engines", Zone: "east-a", Kind: scaling.Reclaimable, Count: 6}
	ctx := context.Background()
	assert.NilError(t, orders.Order(ctx, 7, order))
	order.Kind = scaling.Ordinary
	assert.NilError(t, orders.Order(ctx, 7, order))
	calls := standIn.Calls()
	assert.Equal(t, len(calls), 2)
	assert.Equal(t, calls[0].Token, int64(7))
	for _, c := range calls {
		assert.Assert(t, c.Path == "/scale" && c.Desired == 6 && c.Holder == "front-1", "%+v", c)
	}
	standIn.SetFaults(dutyapi.Faults{Limited: true})
	assert.ErrorIs(t, orders.Order(ctx, 7, order), scaling.ErrRateLimited)
	standIn.SetFaults(dutyapi.Faults{NoneLeft: true})
	assert.ErrorIs(t, orders.Order(ctx, 7, order), scaling.ErrNoneAvailable)
	assert.Equal(t, len(standIn.Breaches()), 0, "%v", standIn.Breaches())
}

// TestUsageDemand guards against rates of late streams that are taken for shares, against an old
// sample where a newer one is known, and against an idle pool whose demand counts as unknown.
func TestUsageDemand(t *testing.T) {
	now := time.Now()
	newest := usage.Demand{ReadTokens: 1e6, Events: 9000, Begun: 350, Streams: 300, LateFirst: 30, LateGap: 150, Coverage: 0.9, Age: 2 * time.Second}
	sums := map[string][]usage.Demand{"engines": {{Age: 3 * time.Second, Coverage: 1}, newest}}
	source := &usageDemand{sums: func(time.Time) map[string][]usage.Demand { return sums }}
	d, ok := source.Demand(now, "engines")
	assert.Assert(t, ok)
	assert.DeepEqual(t, d, scaling.Demand{ReadTokens: 1e6, Events: 9000, Begun: 350, LateFirst: 0.1, LateGap: 0.5, Covered: 0.9, Age: 2 * time.Second})
	d, ok = source.Demand(now, "idle")
	assert.Assert(t, ok)
	assert.DeepEqual(t, d, scaling.Demand{Covered: 0.9, Age: 2 * time.Second})
	sums = nil
	_, ok = source.Demand(now.Add(time.Second), "engines")
	assert.Assert(t, !ok)
}

// TestScalingNeedsDuty guards against a loop that runs although the platform does not name the duty.
func TestScalingNeedsDuty(t *testing.T) {
	for _, c := range []struct {
		duties *setting.Duties
		runs   bool
	}{
		{nil, false},
		{&setting.Duties{Names: []string{setting.UsageDuty}}, false},
		{&setting.Duties{Names: []string{setting.UsageDuty, setting.ScalingDuty}}, false},
		{&setting.Duties{Names: []string{setting.UsageDuty}, OrderUpstreams: true}, false},
		{&setting.Duties{Names: []string{setting.UsageDuty, setting.ScalingDuty}, OrderUpstreams: true}, true},
	} {
		i := &Instance{
			Settings: &setting.Settings{Name: "front-1", Routes: &setting.Routes{}, Duties: c.duties},
			Routing:  &routing.Manager{}, Roster: &roster.Service{}, Log: logrus.New(), kernel: kernel.New(),
		}
		i.Usage = &usage.Service{}
		i.buildScaling()
		assert.Equal(t, i.Scaling != nil, c.runs, "%+v", c.duties)
	}
}
