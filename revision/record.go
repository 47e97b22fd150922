package revision

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/config"
)

const (
	maxHistory = 50 // maxHistory bounds the changes that are kept with the configuration.
	maxSummary = 20 // maxSummary bounds the lines kept of one change.
)

// Entry describes one applied change.
type Entry struct {
	ChangeID string
	Base     int64 // Base is the revision that the change was made to.
	Author   string
	Applied  time.Time
	Summary  []string
}

// record is a configuration as it is stored and sent to peers.
type record struct {
	Gzip    []byte
	History []Entry // History is the newest change first.
}

func newRecord(text string, history []Entry) (*record, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if _, err := io.WriteString(w, text); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return &record{Gzip: b.Bytes(), History: history}, nil
}

func (r *record) text() (string, error) {
	z, err := gzip.NewReader(bytes.NewReader(r.Gzip))
	if err != nil {
		return "", errors.Wrap(err, "expand configuration")
	}
	text, err := io.ReadAll(io.LimitReader(z, config.MaxTextBytes+1))
	return string(text), errors.Wrap(err, "expand configuration")
}

func (r *record) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode configuration record")
}

func decodeRecord(value []byte) (*record, error) {
	r := &record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(err, "decode configuration record")
	}
	return r, nil
}

// has reports whether the change is among those kept.
func (r *record) has(changeID string) bool {
	for _, e := range r.History {
		if e.ChangeID == changeID {
			return true
		}
	}
	return false
}

// revisionOf returns the revision that a change made, given the record's own:
// the base of the change that followed, or the record's revision if none did.
func (r *record) revisionOf(changeID string, own int64) int64 {
	revision := own
	for _, e := range r.History {
		if e.ChangeID == changeID {
			break
		}
		revision = e.Base
	}
	return revision
}

// since returns the changes made to base and later revisions.
func (r *record) since(base int64) []Entry {
	var later []Entry
	for _, e := range r.History {
		if e.Base >= base {
			later = append(later, e)
		}
	}
	return later
}

// next returns the history with the entry added.
func next(history []Entry, e Entry) []Entry {
	all := append([]Entry{e}, history...)
	if len(all) > maxHistory {
		all = all[:maxHistory]
	}
	return all
}

func summarize(before, after string) []string {
	var lines []string
	for _, c := range config.Diff(before, after) {
		if len(lines) == maxSummary {
			lines = append(lines, "more changes are left out")
			break
		}
		lines = append(lines, c.String())
	}
	return lines
}
