// Package background runs the goroutines of a service and waits for them when
// it closes.
package background

import (
	"context"
	"sync"
	"time"
)

// Group runs goroutines until it is closed. The zero value is ready.
type Group struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// Context returns a context that ends when the group begins to close.
func (g *Group) Context() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.context()
}

// context returns the group's context. The lock is held.
func (g *Group) context() context.Context {
	if g.ctx == nil {
		g.ctx, g.cancel = context.WithCancel(context.Background())
	}
	return g.ctx
}

// Begin counts one activity that Close waits for, and returns the function
// that ends it. It returns false once the group closes.
func (g *Group) Begin() (end func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.wait.Add(1)
	return g.wait.Done, true
}

// Go runs f in a goroutine of its own unless the group closes.
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

// Every runs f once a period until the group closes.
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
			}
		}
	})
}

// Abort ends the group's context without waiting.
func (g *Group) Abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.context()
	g.cancel()
}

// Close ends the group's context, lets no further activity begin and waits for
// those under way.
func (g *Group) Close() {
	g.Abort()
	g.Finish()
}

// Finish lets no further activity begin and waits for those under way, without
// ending the group's context first.
func (g *Group) Finish() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
	g.Abort()
}
