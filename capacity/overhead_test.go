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

// newEngine serves streams of n events at once.
func newEngine(n int) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"Running":0}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for i := range n {
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n", i)
			_ = control.Flush()
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", n)
	}))
}

func newInstance(b *testing.B, name, store, seeds string) *instance.Instance {
	log := logrus.New()
	log.SetOutput(io.Discard)
	in := &instance.Instance{
		Settings: &setting.Settings{
			Name: name, Region: "R", Zone: "z", Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0",
			Platform: store, MaxBodyBytes: 1 << 20, MaxRequests: 1000, Policy: "tiered",
		},
		Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log, Check: &invariant.Checker{},
	}
	if seeds != "" {
		in.Settings.Seeds = []string{seeds}
	}
	if err := in.Run(); err != nil {
		b.Fatal(err)
	}
	return in
}

const body = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`

func ask(b *testing.B, address string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewBufferString(body))
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
		b.Fatalf("no whole answer: %v %q", err, text)
	}
}

// BenchmarkRequest is one streamed answer over loopback, straight from the
// engine, through the instance that owns its shard, and through another
// instance. All processes' time is included.
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
		if _, err := one.Keeper.Apply(context.Background(), revision.Change{Base: -1, Text: text}); err != nil {
			b.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		owner, _ := one.Owners.Owner("m/R/0")
		own, other := one, two
		if owner.Name == "entry-2" {
			own, other = two, one
		}
		for _, way := range []struct{ name, address string }{
			{"direct", engineAddress}, {"owner", own.Caller.Address}, {"other", other.Caller.Address},
		} {
			b.Run(fmt.Sprintf("tokens=%d/%s", tokens, way.name), func(b *testing.B) {
				for range b.N {
					ask(b, way.address)
				}
			})
		}
		_ = one.Close()
		_ = two.Close()
		store.Close()
		engine.Close()
	}
}
