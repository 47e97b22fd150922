package forward

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEvents splits texts of each kind of line end into complete events and a rest, with
// all of the text at once and with its bytes arriving one by one.
func TestEvents(t *testing.T) {
	for _, c := range []struct {
		text     string
		complete int // bytes of complete events
		inside   bool
		ids      []string
	}{
		{"", 0, false, nil},
		{"data: a", 0, true, nil},
		{"data: a\n", 0, true, nil},
		{"data: a\n\n", 9, false, []string{""}},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 30, false, []string{"1", "2"}},
		{"id: 1\r\ndata: a\r\n\r\nid:2\r\n\r\n", 26, false, []string{"1", "2"}},
		{"id: 1\rdata: a\r\rid: 2\r\r", 22, false, []string{"1", "2"}},
		{"id: 1\r\ndata: a\r\rid: 2\r\r", 23, false, []string{"1", "2"}},
		{"data: a\r\r\ndata: b\n\n", 19, false, []string{"", ""}},
		{"data: a\r\n\r", 0, true, nil},
		{"data: a\n\n\n", 9, false, []string{""}},
		{"data: a\n\n: ping\n", 9, false, []string{""}},
		{"data: a\n\n: ping", 9, true, []string{""}},
		{"data: a\n\n: ping\n\nid: 3", 17, true, []string{"", ""}},
		{"data: a\n\n: ping\nid: 3\n\n", 23, false, []string{"", "3"}},
	} {
		n := endOfEvents([]byte(c.text))
		assert.Equal(t, n, c.complete, "%q", c.text)
		assert.Equal(t, insideEvent([]byte(c.text[n:])), c.inside, "%q", c.text)
		assert.DeepEqual(t, ids([]byte(c.text[:n])), c.ids)
		got, pending := []string(nil), []byte(nil)
		for i := range len(c.text) {
			pending = append(pending, c.text[i])
			k := endOfEvents(pending)
			got = append(got, ids(pending[:k])...)
			pending = pending[k:]
		}
		assert.DeepEqual(t, got, c.ids)
		assert.Equal(t, insideEvent(pending), c.inside, "%q byte by byte", c.text)
	}
}

// ids returns the IDs of complete events.
func ids(events []byte) []string {
	var all []string
	for len(events) > 0 {
		n := max(endOfEvent(events), 1)
		id, _, _ := eventID(events[:n])
		all = append(all, id)
		events = events[n:]
	}
	return all
}
