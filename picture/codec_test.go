package picture

import (
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/member"
	"knapweedwell/pick"
)

func sample() message {
	return message{
		Sender: "entry-1", State: member.Leaving, Away: true, Number: 7, Version: 12, Changes: 300 << 8,
		Reports: []pick.Report{{Upstream: "u-1", Counts: pick.Counts{Running: 3, Pending: 5000, Tokens: 90000}, Paced: true, Pace: 0.25}, {Upstream: "u-3"}},
		Placed:  []pick.Placement{{Upstream: "u-2", Part: 0xdeadbeefcafe, Tokens: 13000}},
	}
}

// TestCodec encodes and decodes a datagram; upstreams come back as hashes.
func TestCodec(t *testing.T) {
	m, err := decode(encode(sample()))
	assert.NilError(t, err)
	want := sample()
	want.Reports[0].Upstream, want.Placed[0].Upstream = hash("u-1"), hash("u-2")
	assert.Equal(t, m.Sender, want.Sender)
	assert.Equal(t, m.State, want.State)
	assert.Equal(t, m.Away, want.Away)
	assert.Equal(t, m.Number, want.Number)
	assert.Equal(t, m.Version, want.Version)
	assert.Equal(t, m.Changes, want.Changes)
	assert.Equal(t, m.Reports[0].Upstream, want.Reports[0].Upstream)
	assert.Equal(t, m.Reports[0].Counts.Pending, want.Reports[0].Counts.Pending)
	assert.Equal(t, m.Reports[0].Paced, true)
	assert.Equal(t, m.Reports[0].Pace, want.Reports[0].Pace)
	assert.Equal(t, m.Reports[1].Paced, false)
	assert.Equal(t, m.Placed[0], want.Placed[0])
}

// TestShort cuts a datagram at every byte: each piece is refused.
func TestShort(t *testing.T) {
	data := encode(sample())
	for n := range data {
		_, err := decode(data[:n])
		assert.Assert(t, err != nil, "the first %d bytes were taken", n)
	}
	_, err := decode(append(data, 0))
	assert.Assert(t, err != nil)
}

// FuzzDecode decodes whatever comes.
func FuzzDecode(f *testing.F) {
	f.Add(encode(sample()))
	f.Add([]byte{formatVersion})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decode(data)
	})
}
