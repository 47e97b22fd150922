package dispatch

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"knapweedwell/upstream"
)

// errDiffers means that a stream that was run again is not the one whose
// beginning the caller has.
var errDiffers = errors.New("the stream differs from the one that broke")

// errGap means that events are missing in a resumed stream.
var errGap = errors.New("events of the stream are missing")

// relay follows the events of one streamed answer over all attempts, so that
// the caller gets each event once and in order.
type relay struct {
	seen     int    // seen counts the events of the present attempt.
	sent     int    // sent counts the events that the caller has.
	hash     uint64 // hash covers the text of the present attempt.
	sentHash uint64 // sentHash covers the text that the caller has.
	finished bool   // finished tells that the engine gave a finish reason.
}

// begin starts the stream anew on an engine.
func (y *relay) begin() {
	y.seen = 0
	y.hash = 0
}

// complete reports whether the end mark may follow.
func (y *relay) complete() bool {
	return y.finished
}

// accept takes in an event of the present attempt. It reports whether the
// event is new to the caller.
func (y *relay) accept(e upstream.Event) (bool, error) {
	if e.ID != "" {
		if at, err := strconv.Atoi(e.ID); err == nil && at != y.seen {
			return false, y.misplaced(at)
		}
	}
	text, finish := chunk(e.Data)
	y.seen++
	y.hash = xxhash.Sum64String(strconv.FormatUint(y.hash, 16) + text)
	y.finished = y.finished || finish
	switch {
	case y.seen > y.sent:
		y.sentHash = y.hash
		return true, nil
	case y.seen == y.sent && y.hash != y.sentHash:
		return false, errDiffers
	}
	return false, nil
}

// misplaced tells what to do with an event at another offset than the next.
func (y *relay) misplaced(at int) error {
	if at < y.seen {
		return nil
	}
	return errGap
}

// chunk returns the text of a chunk and whether it finishes the answer.
func chunk(data []byte) (string, bool) {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 {
		return "", false
	}
	return c.Choices[0].Delta.Content, c.Choices[0].FinishReason != nil
}

// usage returns the completion tokens of a whole answer, zero if it has none.
func usage(body []byte) int {
	var a struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return 0
	}
	return a.Usage.CompletionTokens
}
