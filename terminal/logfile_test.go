package terminal

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExplainRefusedPart explains a request that was refused for a part of its prompt: the
// lines about that part come with it. A request that was served has its own line only.
func TestExplainRefusedPart(t *testing.T) {
	for _, c := range []struct {
		id    string
		lines []string // parts of the lines in order
	}{
		{"9c41", []string{
			"prompt part is suspected AgeMillis=300 Crashes=2 Occasions=2 Part=dead",
			"prompt part is quarantined AgeMillis=600 Crashes=3",
			"request ended Part=dead Quarantined=true Reason=prompt part dead is quarantined after 3 crashes of upstreams Result=not_run",
		}},
		{"9c43", []string{"request ended Result=ok"}},
	} {
		var out, failures bytes.Buffer
		term := &Terminal{Out: &out, Err: &failures}
		code := term.Run(context.Background(), []string{"explain", "-log", "testdata/refused-part.log", c.id})
		assert.Equal(t, code, ExitOK, failures.String())
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		assert.Equal(t, len(lines), len(c.lines), out.String())
		for i, want := range c.lines {
			assert.Assert(t, strings.Contains(lines[i], want), "line %q, expected %q in it", lines[i], want)
		}
	}
}
