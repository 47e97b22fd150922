package setting

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fill fills in a template by plain replacement of names, and the section of the zones.
func fill(t *testing.T, values map[string]string) string {
	form, err := os.ReadFile("../deploy/settings.ini")
	assert.NilError(t, err)
	text := regexp.MustCompile(`(?s)\{\{#zones\}\}.*?\{\{/zones\}\}`).ReplaceAllString(string(form), "z1 = r\nz2 = r\n")
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
}

// smallDeployment returns the values of a small deployment without duties.
func smallDeployment() map[string]string {
	return map[string]string{
		"node_name": "front-z1-1", "region": "r", "zone": "z1", "ip": "10.0.0.1",
		"listen.front": "10.0.0.1:1", "listen.control": "10.0.0.1:2", "listen.readiness": "10.0.0.1:4", "listen.directory": "10.0.0.1:5",
		"provider.address": "10.0.0.9:1", "seeds": "10.0.0.1:2,10.0.0.2:2", "port_range.0": "7000",
		"bounds.grace_period_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_slack": "54",
		"bounds.config_deadline_ms": "2500", "bounds.drain_timeout_ms": "2500", "limits.memory_mb": "284",
	}
}

// TestTemplate guards against a template that only some programs can fill in: those that replace names,
// and the section of the zones, get settings that are accepted, with duties and without.
func TestTemplate(t *testing.T) {
	s, err := Parse("settings.ini", fill(t, smallDeployment()))
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "front-z1-1")
	assert.DeepEqual(t, s.Routes.Zones, map[string]string{"z1": "r", "z2": "r"})
	assert.Assert(t, s.Duties == nil)

	values := smallDeployment()
	for name, value := range map[string]string{
		"cloud.address": "10.0.0.9:2", "cloud.duties": "usage,scale", "cloud.duties_per_s": "50.0", "bounds.lease_ms": "2000", "bounds.thaw_ms": "400",
		"bounds.report_window_s": "4", "bounds.usage_tolerance": "0.1", "bounds.usage_late_s": "9",
	} {
		values[name] = value
	}
	s, err = Parse("settings.ini", fill(t, values))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Duties, &Duties{
		Address: "10.0.0.9:2", Names: []string{UsageDuty, ScalingDuty}, CallsPerSecond: 50, Lease: 2 * time.Second, Thaw: 400 * time.Millisecond,
		UsageWindow: 4 * time.Second, UsageTolerance: 0.1, UsageDeadline: 9 * time.Second,
	})

	delete(values, "cloud.address")
	_, err = Parse("settings.ini", fill(t, values))
	assert.ErrorContains(t, err, "settings.ini:")
	assert.ErrorContains(t, err, "Address")
}
