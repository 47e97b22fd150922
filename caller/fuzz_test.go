package caller

import (
	"testing"

	"knapweedwell/config"
	"knapweedwell/request"
)

// FuzzChat checks that no body makes readChat panic, and that a body that it
// accepts names a configured model and is an idempotent chat request.
func FuzzChat(f *testing.F) {
	c := &config.Config{Targets: map[string]*config.Target{"m": {Name: "m"}, "s": {Name: "s", Service: true}}}
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{"model":"s","messages":[{"role":"user"}]}`,
		`{"model":`, `null`, `[]`, `{"model":"m","messages":[1],"max_tokens":-1}`, `{"model":"m"} x`, "\x00", `{"model":1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req := &request.Request{Body: body}
		if findings := readChat(c, req); len(findings) > 0 {
			return
		}
		if req.Target != "m" || !req.Idempotent || req.Kind != request.Chat {
			t.Errorf("body %q was accepted as %+v", body, req)
		}
	})
}
