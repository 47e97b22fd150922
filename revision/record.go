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
	maxHistory = 50 // changes stored with the configuration
	maxSummary = 20 // differences stored per change
)

// Entry describes one applied change.
type Entry struct {
	ChangeID string
	Base     int64 // revision that the change replaced
	Author   string
	Applied  time.Time
	Summary  []string
}

// record is a configuration in the form in which it is stored and sent to peers.
type record struct {
	Gzip    []byte
	History []Entry // newest change first
	// Era is that of the store in which its contents were last restored by an instance, zero
	// if that was not necessary.
	Era int64 `json:",omitempty"`
}

// eraBits is the number of bits below the era in a revision of the configuration.
const eraBits = 40

// revisionIn returns the revision of the configuration whose object has a revision in the
// store. It is higher than all of earlier eras, whose revisions the store gives out again.
func (r *record) revisionIn(storeRevision int64) int64 {
	return r.Era<<eraBits + storeRevision
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

func (r *record) decompress() (string, error) {
	z, err := gzip.NewReader(bytes.NewReader(r.Gzip))
	if err != nil {
		return "", errors.Wrap(err, "decompress configuration")
	}
	text, err := io.ReadAll(io.LimitReader(z, config.MaxTextBytes+1))
	return string(text), errors.Wrap(err, "decompress configuration")
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

// newest returns the ID of the newest change, empty if there is none.
func (r *record) newest() string {
	if len(r.History) == 0 {
		return ""
	}
	return r.History[0].ChangeID
}

// descends reports whether a configuration holds all changes of another one, as far as its
// history reaches.
func (r *record) descends(from *record) bool {
	return from.newest() == "" || r.contains(from.newest())
}

// contains reports whether the change is in the history.
func (r *record) contains(changeID string) bool {
	for _, e := range r.History {
		if e.ChangeID == changeID {
			return true
		}
	}
	return false
}

// revisionOf returns the revision that a change produced: the base of the change
// that followed it, or current, the record's own revision, if none did.
func (r *record) revisionOf(changeID string, current int64) int64 {
	revision := current
	for _, e := range r.History {
		if e.ChangeID == changeID {
			break
		}
		revision = e.Base
	}
	return revision
}

// since returns the changes that replaced base or a later revision.
func (r *record) since(base int64) []Entry {
	var later []Entry
	for _, e := range r.History {
		if e.Base >= base {
			later = append(later, e)
		}
	}
	return later
}

// prependEntry returns the newest maxHistory entries of the history with e added.
func prependEntry(history []Entry, e Entry) []Entry {
	all := append([]Entry{e}, history...)
	if len(all) > maxHistory {
		all = all[:maxHistory]
	}
	return all
}

// summarise returns the differences between two configuration texts, one per
// line. After maxSummary lines it adds one that says that more are left out.
func summarise(before, after string) []string {
	var lines []string
	for _, d := range config.Diff(before, after) {
		if len(lines) == maxSummary {
			lines = append(lines, "more changes are left out")
			break
		}
		lines = append(lines, d.String())
	}
	return lines
}
