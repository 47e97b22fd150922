package terminal

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/operator"
	"knapweedwell/revision"
)

// TestRefusedChange guards against repeated calls after a definite refusal, and against a
// refusal that is taken for one although an earlier call may have written the change.
func TestRefusedChange(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []int
		refused bool
	}{
		{"refused at once", []int{http.StatusUnauthorized}, true},
		{"failed, then refused", []int{http.StatusInternalServerError, http.StatusUnauthorized}, false},
		{"failed, then written", []int{http.StatusInternalServerError, http.StatusOK}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.answers[min(calls, len(c.answers)-1)])
				calls++
				_, _ = w.Write([]byte("{}"))
			}))
			defer server.Close()
			client := &operator.Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: *server.Client()}
			_, err := applyWithRetry(t.Context(), client, revision.Change{})
			assert.Equal(t, isRefused(err), c.refused)
			assert.Equal(t, calls, len(c.answers))
			assert.Equal(t, err == nil, c.answers[len(c.answers)-1] == http.StatusOK)
		})
	}
}
