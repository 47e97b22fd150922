package revision

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRevisionOf checks that a change that was confirmed late is reported with
// its own revision, not with that of a later change.
func TestRevisionOf(t *testing.T) {
	r := &record{History: []Entry{{ChangeID: "c", Base: 9}, {ChangeID: "b", Base: 5}, {ChangeID: "a", Base: 2}}}
	assert.Equal(t, r.revisionOf("c", 12), int64(12))
	assert.Equal(t, r.revisionOf("b", 12), int64(9))
	assert.Equal(t, r.revisionOf("a", 12), int64(5))
}

// TestRecord checks that an encoded record decodes to the same text.
func TestRecord(t *testing.T) {
	r, err := newRecord("[Tier A]\nRank = 1\n", prependEntry(nil, Entry{ChangeID: "a"}))
	assert.NilError(t, err)
	value, err := r.encode()
	assert.NilError(t, err)
	decoded, err := decodeRecord(value)
	assert.NilError(t, err)
	text, err := decoded.decompress()
	assert.NilError(t, err)
	assert.Equal(t, text, "[Tier A]\nRank = 1\n")
	assert.Assert(t, decoded.contains("a"))
	_, err = decodeRecord([]byte("{"))
	assert.Assert(t, err != nil)
}
