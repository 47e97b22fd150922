// Package knapweedwell embeds the release notes of the module.
package knapweedwell

import _ "embed" // required by go:embed

// ReleaseNotes is the text of CHANGELOG.md: what was added, changed and
// withdrawn.
//
//go:embed CHANGELOG.md
var ReleaseNotes string
