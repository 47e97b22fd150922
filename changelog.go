// Package knapweedwell holds what belongs to the module as a whole.
package knapweedwell

import _ "embed" // The release notes are embedded.

// ReleaseNotes are the release notes: what was added, changed and withdrawn.
//
//go:embed CHANGELOG.md
var ReleaseNotes string
