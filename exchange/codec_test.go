package exchange

import (
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/balancer"
	"knapweedwell/member"
)

func sampleMessage() message {
	return message{
		Sender: "entry-1", State: member.Leaving, StoreUnreachable: true, Sequence: 7, Version: 12, RosterMark: 300 << 8,
		Reports:    []balancer.Report{{Upstream: "u-1", Counts: balancer.Counts{Running: 3, Pending: 5000, Tokens: 90000}, HasGapRatio: true, LogGapRatio: 0.25}, {Upstream: "u-3"}},
		Placements: []balancer.Placement{{Upstream: "u-2", Part: 0xdeadbeefcafe, Tokens: 13000}},
	}
}

// TestCodec encodes and decodes a message; its upstreams are decoded as hashes.
func TestCodec(t *testing.T) {
	m, err := decode(encode(sampleMessage()))
	assert.NilError(t, err)
	want := sampleMessage()
	want.Reports[0].Upstream, want.Placements[0].Upstream = upstreamHash("u-1"), upstreamHash("u-2")
	assert.Equal(t, m.Sender, want.Sender)
	assert.Equal(t, m.State, want.State)
	assert.Equal(t, m.StoreUnreachable, want.StoreUnreachable)
	assert.Equal(t, m.Sequence, want.Sequence)
	assert.Equal(t, m.Version, want.Version)
	assert.Equal(t, m.RosterMark, want.RosterMark)
	assert.Equal(t, m.Reports[0].Upstream, want.Reports[0].Upstream)
	assert.Equal(t, m.Reports[0].Counts.Pending, want.Reports[0].Counts.Pending)
	assert.Equal(t, m.Reports[0].HasGapRatio, true)
	assert.Equal(t, m.Reports[0].LogGapRatio, want.Reports[0].LogGapRatio)
	assert.Equal(t, m.Reports[1].HasGapRatio, false)
	assert.Equal(t, m.Placements[0], want.Placements[0])
}

// TestDecodeTruncated cuts a datagram at every byte: each piece is rejected.
func TestDecodeTruncated(t *testing.T) {
	data := encode(sampleMessage())
	for n := range data {
		_, err := decode(data[:n])
		assert.Assert(t, err != nil, "decoded the first %d bytes of a datagram", n)
	}
	_, err := decode(append(data, 0))
	assert.Assert(t, err != nil)
}

// FuzzDecode checks that no input makes decode panic.
func FuzzDecode(f *testing.F) {
	f.Add(encode(sampleMessage()))
	f.Add([]byte{formatVersion})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decode(data)
	})
}
