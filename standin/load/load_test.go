package load

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReadExample checks that the example scenario is read without findings.
func TestReadExample(t *testing.T) {
	sc, err := Read("../../examples/load-guild.ini")
	assert.NilError(t, err)
	assert.Equal(t, len(sc.Loads), 3)
	assert.Equal(t, sc.Loads[1].Burst, 4.0)
}

// TestParseFindings checks the findings for a missing key, a malformed value and an
// unknown section.
func TestParseFindings(t *testing.T) {
	_, err := Parse("x.ini", "[Load A]\nRate = fast\n[Other]\n")
	assert.Error(t, err, "x.ini:1: [Load A] Key: missing; expected the organisation's bearer key\n"+
		"x.ini:2: [Load A] Rate: \"fast\" is not accepted; expected a number from 0.001 to 100000\n"+
		"x.ini:3: [Other] unknown section; expected [Scenario] or [Load CLASS]")
}

// TestWholeAnswerTokens guards against a whole answer of which one token is not counted.
func TestWholeAnswerTokens(t *testing.T) {
	body := `{"choices":[{"message":{"content":"w0-1 w1-2 w2-3 "}}],"usage":{"completion_tokens":3}}`
	resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}
	var r Result
	r.read(resp, ClassLoad{}, time.Now())
	assert.Equal(t, r.Outcome, "ok")
	assert.Equal(t, r.Tokens, 3)
}
