package setting

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestParse(t *testing.T) {
	s, err := Parse("x.ini", "[Instance]\nName = a\nRegion = r\nZone = z\nCaller = 10.0.0.1:1\nPeer = 10.0.0.1:2\n"+
		"Operator = 10.0.0.1:3\nPlatform = 10.0.0.9:1\nSeeds = 10.0.0.2:2, 10.0.0.3:2\nStopWait = 1s\n")
	assert.NilError(t, err)
	assert.Equal(t, s.StopWait, time.Second)
	assert.DeepEqual(t, s.Seeds, []string{"10.0.0.2:2", "10.0.0.3:2"})
	assert.Equal(t, s.Policy, "tiered")
}

func TestFindings(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "faults.ini"))
	assert.NilError(t, err)
	_, err = Parse("faults.ini", string(text))
	assert.Assert(t, err != nil)
	golden.Assert(t, err.Error()+"\n", "faults.ini.golden")
	_, err = Load("no-such-file.ini")
	assert.Assert(t, err != nil)
}

// TestUpstreamHeartbeat reads the heartbeat of the upstreams, which the platform's template
// leaves empty where the platform names none.
func TestUpstreamHeartbeat(t *testing.T) {
	const text = "[Instance]\nName = a\nRegion = r\nZone = z\nCaller = 10.0.0.1:1\nPeer = 10.0.0.1:2\nOperator = 10.0.0.1:3\nPlatform = 10.0.0.9:1\n" +
		"[Routes]\nReadiness = 10.0.0.1:4\nDirectory = 10.0.0.1:5\nExchange = 10.0.0.1:6\n"
	for _, c := range []struct {
		line string
		want time.Duration
		ok   bool
	}{
		{"", 0, true},
		{"UpstreamHeartbeatMillis =", 0, true},
		{"UpstreamHeartbeatMillis = 1200", 1200 * time.Millisecond, true},
		{"UpstreamHeartbeatMillis = 0", 0, false},
		{"UpstreamHeartbeatMillis = -3", 0, false},
		{"UpstreamHeartbeatMillis = 1200ms", 0, false},
	} {
		s, err := Parse("x.ini", text+c.line+"\n[Zones]\nz = r\n")
		assert.Equal(t, err == nil, c.ok, "%q: %v", c.line, err)
		if c.ok {
			assert.Equal(t, s.Routes.UpstreamHeartbeat, c.want, "%q", c.line)
		}
	}
}

// TestDuties reads the section of the duties. It guards against settings that are refused
// because the platform rendered a value that the deployment does not have as an empty one.
func TestDuties(t *testing.T) {
	const text = "[Instance]\nName = a\nRegion = r\nZone = z\nCaller = 10.0.0.1:1\nPeer = 10.0.0.1:2\nOperator = 10.0.0.1:3\nPlatform = 10.0.0.9:1\n" +
		"[Duties]\nAddress = 10.0.0.9:2\n"
	s, err := Parse("x.ini", text+"Names = usage,scale\nCallsPerSecond = 50.0\nLeaseMillis = 2000\nThawMillis = 300\nUsageWindowSeconds = 4\nUsageTolerance = 0.1\nUsageDeadlineSeconds = 9\n")
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Duties, &Duties{
		Address: "10.0.0.9:2", Names: []string{UsageDuty, ScalingDuty}, CallsPerSecond: 50, Lease: 2 * time.Second, Thaw: 300 * time.Millisecond,
		UsageWindow: 4 * time.Second, UsageTolerance: 0.1, UsageDeadline: 9 * time.Second,
	})
	assert.Assert(t, s.Duties.Has(ScalingDuty))
	s, err = Parse("x.ini", text+"Names =\nCallsPerSecond =\nLeaseMillis =\nThawMillis =\nUsageWindowSeconds =\nUsageTolerance =\nUsageDeadlineSeconds =\n")
	assert.NilError(t, err)
	assert.Equal(t, s.Duties.Lease, 3*time.Second)
	assert.Assert(t, !s.Duties.Has(UsageDuty))
	_, err = Parse("x.ini", text+"LeaseMillis = 10\n")
	assert.ErrorContains(t, err, "LeaseMillis")
	s, err = Parse("x.ini", text[:len(text)-len("[Duties]\nAddress = 10.0.0.9:2\n")])
	assert.NilError(t, err)
	assert.Assert(t, !s.Duties.Has(UsageDuty))
}
