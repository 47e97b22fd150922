// Package background runs the goroutines of a service and waits for them when
// the service closes.
package background

import (
	"context"
	"sync"
	"time"
)

// Group runs goroutines until it is closed. The zero value is ready to use.
type Group struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// Context returns the group's context, which ends on Abort or Close, or at the
// end of Drain.
func (g *Group) Context() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.context()
}

// context returns the group's context. The caller holds g.mu.
func (g *Group) context() context.Context {
	if g.ctx == nil {
		g.ctx, g.cancel = context.WithCancel(context.Background())
	}
	return g.ctx
}

// Begin registers one activity that Close and Drain wait for, and returns the
// function that marks its end. It returns false once Close or Drain is called.
func (g *Group) Begin() (end func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.wg.Add(1)
	return g.wg.Done, true
}

// Go runs f in a new goroutine, or does nothing once Close or Drain is called.
// The context of f is that of the group.
func (g *Group) Go(f func(ctx context.Context)) {
	end, ok := g.Begin()
	if !ok {
		return
	}
	ctx := g.Context()
	go func() {
		defer end()
		f(ctx)
	}()
}

// Every runs f once a period in a new goroutine until the group's context ends. A run
// that has taken a period or longer is followed by a pause of one period.
func (g *Group) Every(period time.Duration, f func(ctx context.Context, now time.Time)) {
	g.Go(func(ctx context.Context) {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				f(ctx, now)
				if time.Since(now) >= period {
					ticker.Reset(period)
				}
			}
		}
	})
}

// Abort ends the group's context and does not wait for activities.
func (g *Group) Abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.context()
	g.cancel()
}

// Close ends the group's context, refuses new activities and waits for those in
// progress.
func (g *Group) Close() {
	g.Abort()
	g.Drain()
}

// Drain refuses new activities, waits for those in progress and then ends the
// group's context.
func (g *Group) Drain() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
	g.Abort()
}
