package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	partsMemory    = 184 // megabytes, as the smallest machine of the sites has
	partsInstances = 2
	partsRunners   = 18
	partsWork      = 5 * time.Millisecond
	partsCount     = 60 // parts of one prompt
	partTokens     = 4  // tokens of one part
	partsWorkers   = 12
	partsRate      = 500 // requests a second, all to one instance
	partsLength    = 100 * time.Second
	partsShared    = 5000 // parts that all prompts share without the disruption
	kilobyte       = 1024
)

// partsTraffic counts the requests of playParts.
type partsTraffic struct {
	trouble              bool
	parts                atomic.Int64
	sent, served, failed atomic.Int64
}

// playParts sends short prompts of many small parts to one instance. It is broken if the process
// ends or has more memory than its machine.
func playParts(w *world, trouble bool) (bool, error) {
	w.memory = partsMemory
	var upstreams []*upstream
	for n := range partsRunners {
		u := &upstream{id: fmt.Sprintf("i-%08x", 0xa0+n), service: modelService, slots: 12, stream: true, work: partsWork}
		if err := u.listen(); err != nil {
			return false, err
		}
		w.register(u)
		upstreams = append(upstreams, u)
	}
	w.configure()
	if err := w.startInstances(partsInstances); err != nil {
		return false, err
	}
	i := w.instances[0]
	ctx, cancel := context.WithTimeout(context.Background(), partsLength)
	defer cancel()
	t := &partsTraffic{trouble: trouble}
	var wg sync.WaitGroup
	wg.Add(partsWorkers)
	for worker := range partsWorkers {
		go func() {
			defer wg.Done()
			t.send(ctx, i, worker)
		}()
	}
	most, exceeded := 0, false
	for ctx.Err() == nil && !exceeded {
		time.Sleep(time.Second)
		memory := i.memoryKilobytes()
		most = max(most, memory)
		w.record.add("%d requests sent, %d served, %d not, %d parts: %s has %.1f MB", t.sent.Load(), t.served.Load(), t.failed.Load(), t.parts.Load(), i.name, megabytes(memory))
		exceeded = memory > partsMemory*kilobyte || !i.running()
	}
	cancel()
	wg.Wait()
	ran := 0
	for _, u := range upstreams {
		ran += len(u.taken())
	}
	w.record.add("%d requests sent, %d served, %d run; most memory %.1f MB of %d", t.sent.Load(), t.served.Load(), ran, megabytes(most), partsMemory)
	if t.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return !exceeded, nil
}

func megabytes(kilobytes int) float64 {
	return float64(kilobytes) / kilobyte
}

// send sends requests at the worker's share of the rate until the context ends.
func (t *partsTraffic) send(ctx context.Context, i *instance, worker int) {
	c := newClient()
	ticker := time.NewTicker(partsWorkers * time.Second / partsRate)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		t.sent.Add(1)
		o := c.send(ctx, i.address(frontPort), modelPath+"ask", newID(worker, n), t.prompt(), []byte("{}"))
		if o.status == 200 && o.signed {
			t.served.Add(1)
		} else {
			t.failed.Add(1)
		}
	}
}

// prompt returns the headers of a prompt. With the disruption no two prompts share a part; without
// it they share those of a few thousand.
func (t *partsTraffic) prompt() map[string]string {
	var parts []string
	for range partsCount {
		n := t.parts.Add(1)
		if !t.trouble {
			n %= partsShared
		}
		parts = append(parts, fmt.Sprintf("%08x:%d", n+1, partTokens))
	}
	return map[string]string{
		modelHeader: "m", tokensHeader: fmt.Sprintf("%d,5", partsCount*partTokens), partsHeader: strings.Join(parts, ","), deadlineHeader: "8000",
	}
}
