package simulation

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

// TestExamples guards against example configurations that do not work: it runs
// both with six instances in three regions and all upstreams, and sends a
// request of every class of every organisation.
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
				sim := newSimulation(t, 1, options{instances: 6})
				defer sim.close()
				sim.startUpstreams(c, string(text))
				sim.startConfigured()
				sim.requestAllClasses(c)
			})
		})
	}
}

// startUpstreams starts the upstreams of a configuration and distributes the
// instances over its regions.
func (sim *simulation) startUpstreams(c *config.Config, text string) {
	sim.configText = text
	regions := c.RegionOrder(c.Upstreams[c.UpstreamNames()[0]].Region)
	for i, node := range sim.nodes {
		node.region = regions[i%len(regions)]
		node.zone = strings.ToLower(node.region) + "-a"
		sim.network.regions[node.host] = node.region
	}
	for _, name := range c.UpstreamNames() {
		u := c.Upstreams[name]
		sim.network.regions[host(u.Address)] = u.Region
		if c.Targets[u.Target].Service {
			sim.services[name] = service.New(name)
			sim.serve(u.Address, sim.services[name].Handler())
			continue
		}
		e := engine.New(name)
		sim.engines[name] = e
		go e.Run(sim.ctx)
		sim.serve(u.Address, e.Handler())
	}
}

// requestAllClasses sends one request of each class of each organisation.
func (sim *simulation) requestAllClasses(c *config.Config) {
	model, serviceName := "", ""
	for name, t := range c.Targets {
		if t.Service {
			serviceName = name
		} else {
			model = name
		}
	}
	var wg sync.WaitGroup
	n := 0
	for org, o := range c.Organisations {
		for _, class := range o.Classes {
			n++
			number := n
			wg.Add(1)
			go func() {
				defer wg.Done()
				sim.requestClass(sim.nodes[number%len(sim.nodes)], "example-"+org, class, model, serviceName, number, c.Classes[class].Whole > 0)
			}()
		}
	}
	wg.Wait()
	sim.checkRuns()
}

// requestClass sends one request and checks that it is answered within 2 s. A
// booking goes to the plain service, any other request to the model.
func (sim *simulation) requestClass(node *node, key, class, model, serviceName string, n int, booking bool) {
	path, body := "/v1/chat/completions", fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"request %d tokens=9"}]}`, model, n)
	if booking {
		path, body = "/v1/services/"+serviceName+"/book", fmt.Sprintf(`{"Booking":%d}`, n)
	}
	h := map[string]string{"Authorization": "Bearer " + key, "Knapweedwell-Class": class, "Idempotency-Key": fmt.Sprint("key-", n)}
	start := time.Now()
	resp, err := sim.send(sim.ctx, node.callerAddress(), "POST", path, body, h)
	if err != nil || resp.status != 200 {
		sim.errorf("class %s at %s: error %v, status %d, body %s, expected status 200", class, node.name, err, resp.status, resp.body)
		return
	}
	if !booking {
		sim.checkWhole(body, resp)
	}
	const target = 2 * time.Second
	if took := time.Since(start); took > target {
		sim.errorf("class %s at %s took %s in an idle fleet, expected at most %s", class, node.name, took, target)
	}
}
