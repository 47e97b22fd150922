package world

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"knapweedwell/config"
	"knapweedwell/standin/engine"
	"knapweedwell/standin/service"
)

// TestExamples runs both deployments as their example configurations describe
// them: six instances in three regions, all upstreams, and a request of every
// class of every organisation.
func TestExamples(t *testing.T) {
	for _, name := range []string{"pakia-tena.ini", "guild.ini"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(filepath.Join("..", "examples", name))
			if err != nil {
				t.Fatal(err)
			}
			c, err := config.Parse(name, string(text))
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, options{instances: 6})
				defer w.close()
				w.deploy(c, string(text))
				w.begin()
				w.askAll(c)
			})
		})
	}
}

// deploy starts the upstreams of a configuration and spreads the instances
// over its regions.
func (w *world) deploy(c *config.Config, text string) {
	w.text = text
	regions := c.RegionOrder(c.Upstreams[c.UpstreamNames()[0]].Region)
	for i, s := range w.slots {
		s.region = regions[i%len(regions)]
		s.zone = strings.ToLower(s.region) + "-a"
		w.net.regions[s.host] = s.region
	}
	for _, name := range c.UpstreamNames() {
		u := c.Upstreams[name]
		w.net.regions[host(u.Address)] = u.Region
		if c.Targets[u.Target].Service {
			w.services[name] = service.New(name)
			w.serve(u.Address, w.services[name].Handler())
			continue
		}
		e := engine.New(name)
		w.engines[name] = e
		go e.Run(w.ctx)
		w.serve(u.Address, e.Handler())
	}
}

// askAll sends one request for each class of each organisation.
func (w *world) askAll(c *config.Config) {
	model, plain := "", ""
	for name, t := range c.Targets {
		if t.Service {
			plain = name
		} else {
			model = name
		}
	}
	var wait sync.WaitGroup
	n := 0
	for org, o := range c.Organisations {
		for _, class := range o.Classes {
			n++
			number := n
			wait.Add(1)
			go func() {
				defer wait.Done()
				w.askOne(w.slots[number%len(w.slots)], "example-"+org, class, model, plain, number, c.Classes[class].Whole > 0)
			}()
		}
	}
	wait.Wait()
	w.checkRuns()
}

func (w *world) askOne(s *slot, key, class, model, plain string, n int, booking bool) {
	path, body := "/v1/chat/completions", fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"request %d tokens=9"}]}`, model, n)
	if booking {
		path, body = "/v1/services/"+plain+"/book", fmt.Sprintf(`{"Booking":%d}`, n)
	}
	h := map[string]string{"Authorization": "Bearer " + key, "Knapweedwell-Class": class, "Idempotency-Key": fmt.Sprint("key-", n)}
	begin := time.Now()
	a, err := w.send(w.ctx, s.caller(), "POST", path, body, h)
	if err != nil || a.status != 200 {
		w.fail("class %s at %s: %v %d %s", class, s.name, err, a.status, a.body)
		return
	}
	if !booking {
		w.checkWhole(body, a)
	}
	const target = 2 * time.Second
	if took := time.Since(begin); took > target {
		w.fail("class %s at %s took %s in an idle fleet", class, s.name, took)
	}
}
