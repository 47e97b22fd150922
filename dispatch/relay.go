package dispatch

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"knapweedwell/upstream"
)

// errStreamDiffers means that a later attempt generated another text than the one
// that the caller already has.
var errStreamDiffers = errors.New("the stream differs from the one that broke")

// errMissingEvents means that events are missing in a resumed stream.
var errMissingEvents = errors.New("events of the stream are missing")

// relay tracks the events of one streamed answer over all attempts, so that
// the caller gets each event once and in order.
type relay struct {
	received     int    // events of the current attempt
	sent         int    // events that the caller has
	receivedHash uint64 // of the text of the current attempt
	sentHash     uint64 // of the text that the caller has
	finished     bool   // the engine gave a finish reason
}

// restart resets the state of the current attempt before the next one.
func (r *relay) restart() {
	r.received = 0
	r.receivedHash = 0
}

// complete reports whether the engine gave a finish reason, so that the end mark
// may follow.
func (r *relay) complete() bool {
	return r.finished
}

// accept records an event of the current attempt and reports whether the event
// is new to the caller. It returns errMissingEvents or errStreamDiffers if the
// stream does not continue what the caller has.
func (r *relay) accept(e upstream.Event) (bool, error) {
	if e.ID != "" {
		if offset, err := strconv.Atoi(e.ID); err == nil && offset != r.received {
			return false, r.offsetError(offset)
		}
	}
	text, finish := parseChunk(e.Data)
	r.received++
	r.receivedHash = xxhash.Sum64String(strconv.FormatUint(r.receivedHash, 16) + text)
	r.finished = r.finished || finish
	switch {
	case r.received > r.sent:
		r.sentHash = r.receivedHash
		return true, nil
	case r.received == r.sent && r.receivedHash != r.sentHash:
		return false, errStreamDiffers
	}
	return false, nil
}

// offsetError returns the error of an event that is not at the next offset: nil
// for a repeated event, errMissingEvents for one beyond the next offset.
func (r *relay) offsetError(offset int) error {
	if offset < r.received {
		return nil
	}
	return errMissingEvents
}

// parseChunk returns the text of a chunk and whether it finishes the answer.
func parseChunk(data []byte) (string, bool) {
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

// completionTokens returns the number of completion tokens that a complete answer
// states, zero if it states none.
func completionTokens(body []byte) int {
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
