package exchange

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"knapweedwell/quarantine"
	"knapweedwell/ratelimit"
	"knapweedwell/route"
)

func sampleFacts(now time.Time) factsMessage {
	return factsMessage{
		Sender: "entry-1", Compare: compareHas, Digest: 1 << 63, Has: []uint16{1, 1 << 15},
		Facts: []quarantine.Fact{
			quarantine.Convicted{Trait: 0xe4402b7d, At: now.Add(-2 * time.Second), Until: now.Add(time.Minute), Crashes: 5},
			quarantine.Implicated{Trait: 1 << 60, Crash: 9, At: now.Add(-300 * time.Millisecond)},
			quarantine.Implicated{Trait: 7, Place: 3, Crash: 9, At: now.Add(-300 * time.Millisecond)},
			quarantine.Answered{Trait: 8, At: now.Add(-4 * time.Second)},
			quarantine.Released{Trait: 9, At: now},
		},
	}
}

// TestFactsCodec encodes facts and decodes them at an instance whose clock is wrong: ages
// and remaining times stay.
func TestFactsCodec(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for _, skew := range []time.Duration{0, 26 * time.Hour, -26 * time.Hour} {
		m, err := decodeFacts(now.Add(skew), encodeFacts(now, sampleFacts(now)))
		assert.NilError(t, err)
		assert.DeepEqual(t, m, sampleFacts(now.Add(skew)))
	}
}

// TestFactsCodecBounds encodes a verdict that has ended and ones with times out of bounds.
func TestFactsCodecBounds(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	ended := quarantine.Convicted{Trait: 3, At: now.Add(-time.Hour), Until: now.Add(-time.Minute), Crashes: 2}
	facts := []quarantine.Fact{
		quarantine.Convicted{Trait: 1, At: now.Add(-3 * maxFactAge), Until: now, Crashes: -1},
		quarantine.Convicted{Trait: 2, At: now.Add(time.Second), Until: now.Add(time.Minute), Crashes: 2},
		ended,
	}
	m, err := decodeFacts(now, encodeFacts(now, factsMessage{Facts: facts}))
	assert.NilError(t, err)
	assert.DeepEqual(t, m.Facts, []quarantine.Fact{
		quarantine.Convicted{Trait: 1, At: now.Add(-maxFactAge), Until: now},
		quarantine.Convicted{Trait: 2, At: now, Until: now.Add(59 * time.Second), Crashes: 2},
		ended,
	})
}

// TestFactsOfLaterBuilds decodes a message with a kind of facts that this build does not
// know, and with more bytes in a known one.
func TestFactsOfLaterBuilds(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	head := encodeFacts(now, factsMessage{Sender: "entry-1"})
	data := append(head[:len(head)-1:len(head)-1], 2, 99, 3, 1, 2, 3, answeredKind, 4, 5, 0, 1, 1)
	m, err := decodeFacts(now, data)
	assert.NilError(t, err)
	assert.DeepEqual(t, m.Facts, []quarantine.Fact{quarantine.Answered{Trait: 5, At: now}})
}

// TestDecodeFactsTruncated cuts a message at every byte: each piece is rejected.
func TestDecodeFactsTruncated(t *testing.T) {
	now := time.Now()
	data := encodeFacts(now, sampleFacts(now))
	for n := range data {
		_, err := decodeFacts(now, data[:n])
		assert.Assert(t, err != nil, "decoded the first %d bytes of facts", n)
	}
	_, err := decodeFacts(now, append(data, 0))
	assert.Assert(t, err != nil)
}

// FuzzDecodeFacts checks that no input makes decodeFacts panic.
func FuzzDecodeFacts(f *testing.F) {
	now := time.Now()
	f.Add(encodeFacts(now, sampleFacts(now)))
	f.Add([]byte{factsFormat})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeFacts(now, data)
	})
}

// TestLimitIsEqualAtPeer guards against a limit that a peer takes for a changed one.
func TestLimitIsEqualAtPeer(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Unix(1000, 0)
	for _, rate := range []float64{0, 0.1, 7.1, 3.3333333, 10.6, 1e6, 1e300} {
		own, peers := &ratelimit.Limits{Log: log}, &ratelimit.Limits{Log: log}
		own.Observe(now, &route.Upstream{ID: "u", Born: 5}, true, rate)
		data := encodeFacts(now, factsMessage{Sender: "a", Limits: own.Evidence(now)})
		m, err := decodeFacts(now, data)
		assert.NilError(t, err)
		assert.Equal(t, m.Limits[0].Upstream, upstreamHash("u"))
		m.Limits[0].Upstream = "u"
		assert.Equal(t, len(peers.Apply(now, m.Limits)), 1)
		assert.DeepEqual(t, peers.Evidence(now), own.Evidence(now))
	}
}

// TestFactsOfLongPrompt guards against facts about the parts of a long prompt that do not fit into a
// datagram, or that come with other places.
func TestFactsOfLongPrompt(t *testing.T) {
	now := time.Unix(1000, 0)
	m := factsMessage{Sender: "entry-1", Facts: []quarantine.Fact{quarantine.Answered{Trait: 8, At: now}}}
	for i := range maxSentFacts {
		m.Facts = append(m.Facts, quarantine.Implicated{Trait: 1<<63 + uint64(i), Place: i + 900, Crash: 9, At: now})
	}
	data := encodeFacts(now, m)
	assert.Assert(t, len(data) < maxDatagramBytes/4, "%d bytes", len(data))
	got, err := decodeFacts(now, data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
}
