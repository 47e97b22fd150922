package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"knapweedwell/request"
)

const (
	// wholePlace is the place of the trait of a whole request, after all parts of a prompt.
	wholePlace = 1000
	// hashedEnd is the length of the beginning and of the end of a body that a fingerprint
	// covers if the body is longer than both.
	hashedEnd = 32 << 10
)

// Trait is something by which a request that crashes upstreams is known again: a part of its
// prompt, which requests share that are not alike, or its fingerprint, which the same
// request has each time it comes.
type Trait struct {
	ID    uint64
	Whole bool // the ID is the fingerprint of a whole request
}

// Traits returns the traits of a request: the parts of its prompt that others may share, in
// their order, and its fingerprints.
func Traits(prompt *request.Prompt, fingerprints ...uint64) []Trait {
	shared := prompt.Shared()
	traits := make([]Trait, 0, len(shared)+len(fingerprints))
	for _, p := range shared {
		traits = append(traits, Trait{ID: p.ID})
	}
	for _, f := range fingerprints {
		traits = append(traits, Trait{ID: f, Whole: true})
	}
	return traits
}

// Fingerprint returns a hash by which a request is the same at each instance: of its method,
// its target, its caller and its body, of which the middle is left out if it is long. It is
// the first 64 bits of SHA-256, so that no caller can find a request of its own with
// the fingerprint of another's.
func Fingerprint(method, target, caller string, body []byte) uint64 {
	h := sha256.New()
	for _, field := range []string{method, target, caller} {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(body))))
	if len(body) > 2*hashedEnd {
		h.Write(body[:hashedEnd])
		body = body[len(body)-hashedEnd:]
	}
	h.Write(body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// placedTrait is a trait with its place in the request, which orders traits by how few
// requests have them.
type placedTrait struct {
	id    uint64
	place int
}

// place returns the traits of a request, those of its parts first, with their places.
func place(traits []Trait) []placedTrait {
	placed := make([]placedTrait, len(traits))
	wholes := 0
	for i, t := range traits {
		placed[i] = placedTrait{id: t.ID, place: min(i, wholePlace-1)}
		if t.Whole {
			placed[i].place = wholePlace + wholes
			wholes++
		}
	}
	return placed
}

// TraitName returns a trait's ID as it is logged.
func TraitName(id uint64) string {
	return fmt.Sprintf("%x", id)
}
