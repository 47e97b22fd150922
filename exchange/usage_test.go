package exchange

import (
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/usage"
)

// TestUsageRoundTrip encodes and decodes a message with counts.
func TestUsageRoundTrip(t *testing.T) {
	m := usage.Message{
		Source: "entry-1@17", Zone: "z1", Covers: 4, Time: 1_700_000_000_123, Slot: usage.Slot{Kind: usage.DemandKind, Number: 353_445_120},
		Entries: []usage.Entry{{Name: "", Count: 1}, {Name: "hule930", Count: 412}},
	}
	got, err := decodeUsage(encodeUsage(m))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
}

// FuzzDecodeUsage guards against a datagram that ends the process or takes much memory.
func FuzzDecodeUsage(f *testing.F) {
	f.Add([]byte{usageFormat})
	f.Add(encodeUsage(usage.Message{Source: "a@1", Entries: []usage.Entry{{Name: "o", Count: 3}}}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeUsage(data)
	})
}
