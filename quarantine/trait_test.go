package quarantine_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/quarantine"
	"knapweedwell/request"
)

// TestFingerprint checks by what requests are told apart.
func TestFingerprint(t *testing.T) {
	const limit = 64 << 10
	long := bytes.Repeat([]byte("x"), limit+2)
	other := bytes.Clone(long)
	other[len(other)-1] = 'y'
	same := quarantine.Fingerprint("POST", "/a", "org", []byte("body"))
	assert.Equal(t, quarantine.Fingerprint("POST", "/a", "org", []byte("body")), same)
	for name, f := range map[string]uint64{
		"method":  quarantine.Fingerprint("PUT", "/a", "org", []byte("body")),
		"target":  quarantine.Fingerprint("POST", "/b", "org", []byte("body")),
		"caller":  quarantine.Fingerprint("POST", "/a", "other", []byte("body")),
		"body":    quarantine.Fingerprint("POST", "/a", "org", []byte("text")),
		"no body": quarantine.Fingerprint("POST", "/a", "org", nil),
		"borders": quarantine.Fingerprint("POST", "/ao", "rg", []byte("body")),
	} {
		assert.Assert(t, f != same, name)
	}
	assert.Assert(t, quarantine.Fingerprint("", "", "", long) != quarantine.Fingerprint("", "", "", other))
	assert.Assert(t, quarantine.Fingerprint("", "", "", long) != quarantine.Fingerprint("", "", "", long[1:]))
}

// TestTraits checks that the last part of a prompt, which is the request's own, is no trait.
func TestTraits(t *testing.T) {
	p := &request.Prompt{Parts: []request.Part{{ID: 1}, {ID: 2}, {ID: 3}}}
	assert.DeepEqual(t, quarantine.Traits(p, 9), []quarantine.Trait{{ID: 1}, {ID: 2}, {ID: 9, Whole: true}})
	assert.DeepEqual(t, quarantine.Traits(&request.Prompt{}, 9), []quarantine.Trait{{ID: 9, Whole: true}})
}
