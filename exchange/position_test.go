package exchange

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/roster"
)

// TestPositionInDatagram sends the position of a roster and reads it again. An earlier build,
// which knows no eras, sends and reads the plain mark.
func TestPositionInDatagram(t *testing.T) {
	for _, c := range []struct {
		name     string
		position roster.Position
		want     roster.Position
	}{
		{"without an era", roster.Position{Mark: 300 << 8}, roster.Position{Mark: 300 << 8}},
		{"with an era", roster.Position{Era: 7, Mark: 300 << 8}, roster.Position{Era: 7, Mark: 300 << 8}},
		{"of a high revision", roster.Position{Era: 7, Mark: math.MaxInt64}, roster.Position{Era: 7, Mark: math.MaxInt64}},
		{"with an era beyond those that are told apart", roster.Position{Era: eras + 1, Mark: 5}, roster.Position{Era: 1, Mark: 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, err := decode(encode(message{Sender: "entry-1", Sequence: sequenceIn(c.position.Era, 9), RosterMark: c.position.Mark, Version: math.MaxInt64}))
			assert.NilError(t, err)
			assert.Equal(t, positionIn(m.Sequence, m.RosterMark, 0), c.want)
			assert.Equal(t, m.Version, int64(math.MaxInt64))
			d, err := decodeDigest(encodeDigest(digest{Format: noticeFormat, Sender: "entry-1", Sequence: sequenceIn(c.position.Era, 9), RosterMark: c.position.Mark, Version: math.MaxInt64, Parts: 1}))
			assert.NilError(t, err)
			assert.Equal(t, d.Version, int64(math.MaxInt64))
			assert.Equal(t, positionIn(d.Sequence, d.RosterMark, 0), c.want)
		})
	}
	for _, own := range []int64{0, 1, eras - 1, eras, 1 << 40} {
		for _, ahead := range []int64{-1, 0, 1, 5} {
			if own+ahead >= 0 {
				assert.Equal(t, positionIn(sequenceIn(own+ahead, 9), 5, own).Era, own+ahead, "own era %d", own)
			}
		}
	}
	assert.Assert(t, outdated(sequenceIn(eras-1, 9), sequenceIn(eras-1, 9)) && outdated(1, sequenceIn(2, 1)))
	assert.Assert(t, !outdated(sequenceIn(eras, 10), sequenceIn(eras-1, 9)), "an era after the last that is told apart")
	assert.Assert(t, sequenceIn(2, 1) > sequenceIn(1, 1<<31), "the number must rise with the era")
}
