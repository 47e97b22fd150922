// Package demo runs one instance and its stand-ins in one process and sends
// requests to it over real sockets.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"knapweedwell/config"
	"knapweedwell/instance"
	"knapweedwell/invariant"
	"knapweedwell/operator"
	"knapweedwell/revision"
	"knapweedwell/setting"
	"knapweedwell/standin/engine"
	"knapweedwell/standin/load"
	"knapweedwell/standin/platform"
	"knapweedwell/standin/service"
)

const (
	anyPort       = "127.0.0.1:0"
	riderKey      = "demo-rider-key"
	shopKey       = "demo-shop-key"
	readyTimeout  = 10 * time.Second
	retryPeriod   = 50 * time.Millisecond
	headerTimeout = 5 * time.Second
	loadDuration  = 4 * time.Second
)

// Run runs the demonstration and prints the answers that callers receive and
// the results of the load.
func Run(ctx context.Context, out io.Writer) error {
	d := &demo{out: out}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	if err := d.showAnswers(ctx); err != nil {
		return err
	}
	return d.runLoad(ctx)
}

// demo is a running demonstration with its stand-ins.
type demo struct {
	out             io.Writer
	instance        *instance.Instance
	client          operator.Client // operator interface of the instance
	servers         []*http.Server
	engineAddresses []string
	serviceAddress  string
	cancel          context.CancelFunc // stops the engines
}

// close stops the instance and the stand-ins.
func (d *demo) close() {
	if d.instance != nil {
		_ = d.instance.Close()
	}
	if d.cancel != nil {
		d.cancel()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// serve serves a stand-in on a free port and returns its address.
func (d *demo) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// start starts the stand-ins and then the instance.
func (d *demo) start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	platformAddress, err := d.serve(platform.New().Handler())
	if err != nil {
		return err
	}
	for _, name := range []string{"planner-1", "planner-2"} {
		e := engine.New(name)
		go e.Run(ctx)
		address, err := d.serve(e.Handler())
		if err != nil {
			return err
		}
		d.engineAddresses = append(d.engineAddresses, address)
	}
	d.serviceAddress, err = d.serve(service.New("booking").Handler())
	if err != nil {
		return err
	}
	return d.startInstance(platformAddress)
}

// startInstance starts the instance, which uses the platform at an address.
func (d *demo) startInstance(platformAddress string) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := &instance.Instance{
		Settings: &setting.Settings{
			Name: "demo", Region: "Nairobi", Zone: "nairobi-a", Caller: anyPort, Peer: anyPort, Operator: anyPort,
			Platform: platformAddress, MaxBodyBytes: 1 << 20, MaxRequests: 1000, Policy: "tiered",
		},
		Dial:   (&net.Dialer{}).DialContext,
		Listen: net.Listen,
		Log:    log,
		Check:  &invariant.Checker{Panic: true},
	}
	if err := i.Run(); err != nil {
		return err
	}
	d.instance = i
	d.client = operator.Client{Address: i.Operator.Address}
	return nil
}

// configuration returns the text of the demonstration's configuration.
func (d *demo) configuration() string {
	var b strings.Builder
	b.WriteString("[Region Nairobi]\n\n[Tier Urgent]\nRank = 1\nPreempts = true\n\n[Tier Routine]\nRank = 2\n\n")
	b.WriteString("[Class RiderPlan]\nTier = Urgent\nFirstToken = 1.4s\nBetweenToken = 62ms\n\n")
	b.WriteString("[Class Booking]\nTier = Urgent\nWhole = 2s\n\n")
	b.WriteString("[Class ShopReply]\nTier = Routine\nFirstToken = 3s\n\n")
	fmt.Fprintf(&b, "[Organisation Riders]\nKeySHA256 = %s\nDefaultClass = RiderPlan\nClasses = RiderPlan, Booking\n\n", config.HashKey(riderKey))
	fmt.Fprintf(&b, "[Organisation Shops]\nKeySHA256 = %s\nDefaultClass = ShopReply\n\n", config.HashKey(shopKey))
	b.WriteString("[Model planner]\n\n[Service booking]\nIdempotent = false\n\n")
	for n, address := range d.engineAddresses {
		fmt.Fprintf(&b, "[Upstream planner-%d]\nModel = planner\nAddress = %s\nRegion = Nairobi\nZone = nairobi-a\n\n", n+1, address)
	}
	fmt.Fprintf(&b, "[Upstream booking-1]\nService = booking\nAddress = %s\nRegion = Nairobi\nZone = nairobi-a\n", d.serviceAddress)
	return b.String()
}

// apply applies the configuration and prints its revision. It returns the
// findings if there are any.
func (d *demo) apply(ctx context.Context) error {
	applied, err := d.client.Apply(ctx, revision.Change{ChangeID: "demo", Base: -1, Author: "demo", Text: d.configuration()})
	if err != nil {
		return err
	}
	if len(applied.Findings) > 0 {
		return applied.Findings
	}
	fmt.Fprintf(d.out, "configuration revision %d is in force\n\n", applied.Result.Revision)
	return nil
}

// showAnswers prints one complete answer for each class.
func (d *demo) showAnswers(ctx context.Context) error {
	rider := `{"model":"planner","stream":true,"messages":[{"role":"user","content":"plan the pickups, tokens=8"}]}`
	if err := d.showAnswer(ctx, "RiderPlan, streamed", riderKey, "RiderPlan", "/v1/chat/completions", rider); err != nil {
		return err
	}
	shop := `{"model":"planner","messages":[{"role":"user","content":"reply to the shop, tokens=12"}]}`
	if err := d.showAnswer(ctx, "ShopReply, whole", shopKey, "ShopReply", "/v1/chat/completions", shop); err != nil {
		return err
	}
	return d.showAnswer(ctx, "Booking", riderKey, "Booking", "/v1/services/booking/book", `{"Pickup":"shop 17"}`)
}

// showAnswer sends a request, retries it until the status is 200, since the instance
// may not be ready yet, and prints the answer. After readyTimeout it returns an
// error with the last status.
func (d *demo) showAnswer(ctx context.Context, title, key, class, path, body string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		answer, status, err := d.post(ctx, key, class, path, body)
		switch {
		case err != nil:
			return err
		case status == http.StatusOK:
			fmt.Fprintf(d.out, "== %s\n%s\n\n", title, strings.TrimSpace(answer))
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s: status %d: %s", title, status, answer)
		case <-time.After(retryPeriod):
		}
	}
}

// post sends a request to the instance and returns the text of the answer and
// the HTTP status.
func (d *demo) post(ctx context.Context, key, class, path, body string) (string, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.instance.Caller.Address+path, bytes.NewBufferString(body))
	if err != nil {
		return "", 0, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Knapweedwell-Class", class)
	req.Header.Set("Idempotency-Key", class+"-demo")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return answerText(answer), resp.StatusCode, errors.Wrap(err, "read answer")
}

// answerText returns the generated text of an answer, or the answer itself if
// it is not from an engine.
func answerText(answer []byte) string {
	var whole struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(answer, &whole) == nil && len(whole.Choices) > 0 {
		return whole.Choices[0].Message.Content
	}
	if !bytes.Contains(answer, []byte("data: ")) {
		return string(answer)
	}
	var b strings.Builder
	for _, line := range strings.Split(string(answer), "\n") {
		b.WriteString(deltaText(line))
	}
	return b.String()
}

// deltaText returns the text in one line of a streamed answer, or the data
// itself if it is not a chunk of an engine.
func deltaText(line string) string {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return ""
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return data
	}
	return chunk.Choices[0].Delta.Content
}

// runLoad sends requests of three classes in two tiers at the same time and
// prints the results by class.
func (d *demo) runLoad(ctx context.Context) error {
	sc := &load.Scenario{Seed: 1, Duration: loadDuration, Loads: []load.ClassLoad{
		{Class: "RiderPlan", Key: riderKey, Model: "planner", Rate: 6, Tokens: 15, PromptBytes: 400, Streamed: true, FirstToken: 1400 * time.Millisecond, BetweenToken: 62 * time.Millisecond},
		{Class: "ShopReply", Key: shopKey, Model: "planner", Rate: 10, Tokens: 20, PromptBytes: 400, Streamed: true, FirstToken: 3 * time.Second},
		{Class: "Booking", Key: riderKey, Service: "booking", Rate: 3, Whole: 2 * time.Second},
	}}
	g := &load.Generator{Scenario: sc, Address: d.instance.Caller.Address}
	fmt.Fprintf(d.out, "== %s of load\n", loadDuration)
	return g.Run(ctx).Write(d.out)
}
