package route

// Upstream is one incarnation of an upstream that registered itself in the store.
type Upstream struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	Born    int64 // start of the incarnation in Unix milliseconds, zero if unknown
	// Reclaimable is set if the platform may take the upstream away at any time.
	Reclaimable bool
}
