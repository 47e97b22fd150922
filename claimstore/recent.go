package claimstore

import (
	"container/list"
	"sync"
	"time"

	"knapweedwell/claim"
	"knapweedwell/request"
)

const (
	// recentTime is how long a stored claim is remembered by its holder. It is longer than
	// a copy of the store is old when the store comes back from it.
	recentTime = 2 * time.Minute
	// maxRecent and maxRecentBytes bound the remembered claims. Outcomes beyond
	// maxRecentBytes are remembered as unknown.
	maxRecent      = 8192
	maxRecentBytes = 4 << 20
)

// recentClaims remembers the stored claims that this instance holds or held lately, those of
// instances that handed them over included. A store that comes back from a copy may lack
// them.
type recentClaims struct {
	mu     sync.Mutex
	claims map[string]*list.Element // of order, by the name of the claim's object
	order  list.List                // recentClaim, the oldest first
	bytes  int                      // of the outcomes
}

// recentClaim is one remembered claim.
type recentClaim struct {
	stored storedClaim
	at     time.Time
}

// put remembers a claim, in place of an earlier state of it.
func (r *recentClaims) put(now time.Time, st storedClaim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	name := objectName(st.Claim)
	r.remove(name)
	if size := outcomeBytes(st); size > maxStoredBodyBytes || r.bytes+size > maxRecentBytes {
		st.Outcome = &claim.Outcome{Failure: request.Unknown("the request ran; its answer was not kept")}
	}
	r.bytes += outcomeBytes(st)
	if r.claims == nil {
		r.claims = map[string]*list.Element{}
	}
	r.claims[name] = r.order.PushBack(recentClaim{stored: st, at: now})
}

// forget deletes a claim that was released.
func (r *recentClaims) forget(c claim.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.claims[objectName(c)]; e != nil && e.Value.(recentClaim).stored.Claim.Nonce == c.Nonce {
		r.remove(objectName(c))
	}
}

// get returns the claim on a key, nil if none is remembered.
func (r *recentClaims) get(now time.Time, name string) *storedClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	e := r.claims[name]
	if e == nil {
		return nil
	}
	st := e.Value.(recentClaim).stored
	return &st
}

// all returns the remembered claims, the oldest first.
func (r *recentClaims) all(now time.Time) []storedClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var all []storedClaim
	for e := r.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(recentClaim).stored)
	}
	return all
}

// expire deletes what is too old or too much. The caller holds r.mu.
func (r *recentClaims) expire(now time.Time) {
	for e := r.order.Front(); e != nil; e = r.order.Front() {
		c := e.Value.(recentClaim)
		if now.Sub(c.at) <= recentTime && r.order.Len() <= maxRecent {
			return
		}
		r.remove(objectName(c.stored.Claim))
	}
}

// remove deletes a claim. The caller holds r.mu.
func (r *recentClaims) remove(name string) {
	e := r.claims[name]
	if e == nil {
		return
	}
	r.bytes -= outcomeBytes(r.order.Remove(e).(recentClaim).stored)
	delete(r.claims, name)
}

// outcomeBytes returns the length of the answer in a claim's outcome.
func outcomeBytes(st storedClaim) int {
	if st.Outcome == nil {
		return 0
	}
	return len(st.Outcome.Body)
}
