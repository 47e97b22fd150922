package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/config"
	"knapweedwell/instance"
	"knapweedwell/invariant"
	"knapweedwell/revision"
	"knapweedwell/setting"
	"knapweedwell/standin/platform"
)

// newEngine starts a server that answers each request with a stream of n events
// without delay.
func newEngine(n int) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"Running":0}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		for i := range n {
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n", i)
			_ = controller.Flush()
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", n)
	}))
}

// newInstance runs an instance on free ports of the loopback address. An empty
// seed means none.
func newInstance(b *testing.B, name, storeAddress, seed string) *instance.Instance {
	log := logrus.New()
	log.SetOutput(io.Discard)
	in := &instance.Instance{
		Settings: &setting.Settings{
			Name: name, Region: "R", Zone: "z", Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0",
			Platform: storeAddress, MaxBodyBytes: 1 << 20, MaxRequests: 1000, Policy: "tiered",
		},
		Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log, Check: &invariant.Checker{},
	}
	if seed != "" {
		in.Settings.Seeds = []string{seed}
	}
	if err := in.Run(); err != nil {
		b.Fatal(err)
	}
	return in
}

const requestBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`

// sendRequest sends one request and reads its complete stream.
func sendRequest(b *testing.B, address string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewBufferString(requestBody))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		b.Fatalf("incomplete answer: error %v, body %q", err, text)
	}
}

// BenchmarkRequest measures one streamed answer over loopback: directly from the
// engine, through the instance that owns its shard, and through another
// instance. The time includes client, instances and engine.
func BenchmarkRequest(b *testing.B) {
	for _, tokens := range []int{1, 100, 1000} {
		engine := newEngine(tokens)
		store := httptest.NewServer(platform.New().Handler())
		storeAddress := strings.TrimPrefix(store.URL, "http://")
		engineAddress := strings.TrimPrefix(engine.URL, "http://")
		one := newInstance(b, "entry-1", storeAddress, "")
		two := newInstance(b, "entry-2", storeAddress, one.Peers.Address)
		text := fmt.Sprintf("[Region R]\n[Tier T]\nRank = 1\n[Class C]\nTier = T\nFirstToken = 1s\n[Organisation O]\nKeySHA256 = %s\nDefaultClass = C\n"+
			"[Model m]\n[Upstream u]\nModel = m\nAddress = %s\nRegion = R\nZone = z\n", config.HashKey("key"), engineAddress)
		if _, err := one.Revisions.Apply(context.Background(), revision.Change{Base: -1, Text: text}); err != nil {
			b.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		ownerMember, _ := one.Owners.Owner("m/R/0")
		ownerInstance, otherInstance := one, two
		if ownerMember.Name == "entry-2" {
			ownerInstance, otherInstance = two, one
		}
		for _, path := range []struct{ name, address string }{
			{"direct", engineAddress}, {"owner", ownerInstance.Caller.Address}, {"other", otherInstance.Caller.Address},
		} {
			b.Run(fmt.Sprintf("tokens=%d/%s", tokens, path.name), func(b *testing.B) {
				for range b.N {
					sendRequest(b, path.address)
				}
			})
		}
		_ = one.Close()
		_ = two.Close()
		store.Close()
		engine.Close()
	}
}
