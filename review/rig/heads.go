package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headsInstances = 2
	headsRunners   = 18
	headsWork      = 30 * time.Millisecond
	headsUsual     = 27 // requests a second to one instance
	headsBurst     = 44
	headsCalm      = 5 * time.Second
	headsTrouble   = 7500 * time.Millisecond
	headsAfter     = 3 * time.Second
	headsParts     = 97 // shared parts of the prompts

	firstBytes  = 64000 // of a head, at once
	fieldPeriod = 100 * time.Millisecond
	firstField  = 1000 // its name has two letters
	fieldBase   = 36
	fieldEnd    = ":\n" // a field has no value
)

// headsTraffic counts the requests of playHeads.
type headsTraffic struct {
	trouble  atomic.Bool
	endless  atomic.Int64 // heads without end that are being written
	mu       sync.Mutex
	byStatus map[int]int
}

// playHeads lets all runners begin answers whose heads have no end, while many users come at once. It is
// broken if the process ends or has more memory than its machine.
func playHeads(w *world, trouble bool) (bool, error) {
	t := &headsTraffic{byStatus: map[int]int{}}
	for n := range headsRunners {
		u := &upstream{id: fmt.Sprintf("i-%08x", 0xa0+n), service: modelService, slots: 96, stream: true, work: headsWork}
		u.onAnswer = func(rw http.ResponseWriter, id string) bool { return t.answer(w, u, rw, id) }
		if err := u.listen(); err != nil {
			return false, err
		}
		w.register(u)
	}
	w.configure()
	if err := w.startInstances(headsInstances); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	i := w.instances[0]
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.sendAll(ctx, w, i)
	}()
	time.Sleep(headsCalm)
	w.record.add("many users come at once; heads without end: %t", trouble)
	t.trouble.Store(trouble)
	most, exceeded := t.watch(w, i, headsTrouble)
	t.trouble.Store(false)
	w.record.add("the runners are sound again")
	later, again := t.watch(w, i, headsAfter)
	cancel()
	<-done
	most, exceeded = max(most, later), exceeded || again
	w.record.add("requests by status, 0 for none: %v; most memory %.1f MB of %d", t.byStatus, megabytes(most), w.memory)
	return !exceeded, nil
}

// watch records the memory of an instance for a time, and reports whether it was more than that of
// the machine or the process has ended.
func (t *headsTraffic) watch(w *world, i *instance, d time.Duration) (most int, exceeded bool) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(pollPeriod)
		memory := i.memoryKilobytes()
		most = max(most, memory)
		w.record.add("%d heads without end: %s has %.1f MB of %d", t.endless.Load(), i.name, megabytes(memory), w.memory)
		exceeded = exceeded || memory > w.memory*kilobyte || !i.running()
	}
	return most, exceeded
}

// sendAll sends prompts at the usual rate, and at that of many users once the calm is over, until the
// context ends.
func (t *headsTraffic) sendAll(ctx context.Context, w *world, i *instance) {
	c := newClient()
	began := time.Now()
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		rate := headsUsual
		if time.Since(began) > headsCalm {
			rate = headsBurst
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := newID(1, n)
			headers := map[string]string{
				modelHeader: "m", tokensHeader: "1500,20", deadlineHeader: "8000",
				partsHeader: fmt.Sprintf("%x:800,%x:400", 0x50000+n%headsParts, 0x900000+n),
			}
			request, cancel := context.WithTimeout(ctx, requestTime)
			defer cancel()
			o := c.send(request, i.address(frontPort), modelPath+"ask", id, headers, []byte("prompt "+id))
			w.record.add("request %s: %d", id, o.status)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.byStatus[o.status]++
		}()
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
}

// answer writes a head without end if the runners are in trouble, and reports whether the sound
// answer is still to be written.
func (t *headsTraffic) answer(w *world, u *upstream, rw http.ResponseWriter, id string) bool {
	hijacker, ok := rw.(http.Hijacker)
	if !t.trouble.Load() || !ok {
		return true
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return true
	}
	defer c.Close()
	t.endless.Add(1)
	defer t.endless.Add(-1)
	n := writeEndlessHead(c, id)
	w.record.add("the caller of request %s closed the connection to %s after %d fields of the head", id, u.id, n)
	return false
}

// writeEndlessHead writes fields of a head until the caller closes the connection. It returns their
// number.
func writeEndlessHead(c net.Conn, id string) int {
	field := func(n int) string { return strconv.FormatInt(int64(firstField+n), fieldBase) + fieldEnd }
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\n")
	n := 0
	for ; b.Len() < firstBytes; n++ {
		b.WriteString(field(n))
	}
	_, err := io.WriteString(c, b.String())
	for ; err == nil; n++ {
		time.Sleep(fieldPeriod)
		_, err = io.WriteString(c, field(n))
	}
	return n
}
