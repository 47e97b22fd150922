package httpwire

import (
	"net/http"

	"github.com/pkg/errors"
)

// The statuses of HTTP: interim answers from firstInterim, final ones from http.StatusOK on
// (RFC 9110, section 15).
const (
	firstInterim = 100
	lastFinal    = 599
)

// CheckStatus returns an error if the status of an answer is none of a final answer to a request that
// asked for no other protocol. Such an answer is no answer to the request.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > lastFinal {
		return errors.Errorf("status %d is no final status of HTTP", status)
	}
	return nil
}

// isInterim reports whether a final answer follows one with the status.
func isInterim(status int) bool {
	return status >= firstInterim && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
