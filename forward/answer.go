package forward

import (
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"knapweedwell/buffer"
	"knapweedwell/httpwire"
	"knapweedwell/platform"
)

const (
	maxBufferedBytes = 2 << 20  // largest answer that is read completely before it is relayed
	relayBytes       = 32 << 10 // part of a large answer for which the caller has writeTimeout
)

// relayAnswer checks and relays the answer of an upstream that ran the request. What the head
// promises to the caller is decided here, before the body is read, so that it holds for each
// way in which a body is relayed.
func (t *transfer) relayAnswer(headers platform.AnswerHeaders) result {
	status := t.resp.StatusCode
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case success && !headers.Signed:
		t.keep = false
		return broken{reason: "the answer is not signed"}
	case t.resp.Header.Get("Content-Encoding") != "":
		t.keep = false
		return broken{reason: "the answer is encoded"}
	case impliesNotRun(status) && !t.rs.route.Repeatable():
		// Relayed to the caller, the status would state that the request did not run. The body is
		// not waited for.
		t.attempt.First(time.Now())
		t.keep = false
		return broken{reason: "the upstream answered " + t.resp.Status + " without saying that it did not run the request"}
	case success && t.rs.route.Stream:
		return t.relayStream()
	case t.rs.begun:
		t.keep = false
		return broken{reason: "the stream was not taken up: " + t.resp.Status}
	}
	return t.relayWhole()
}

// relayWhole reads an answer that is not a stream to its end before any of it is
// written to the caller, unless it is larger than maxBufferedBytes or the memory for bodies is
// spent.
func (t *transfer) relayWhole() result {
	body := t.rs.newBuffer()
	err := body.Fill(t.resp.Body, t.resp.ContentLength, maxBufferedBytes)
	switch {
	case errors.Is(err, io.ErrShortBuffer):
		return t.relayLarge(body)
	case errors.Is(err, buffer.ErrSpent):
		t.rs.s.logMemorySpent()
		return t.relayLarge(body)
	case err != nil:
		t.keep = false
		return broken{reason: errors.Wrap(err, "read answer").Error()}
	}
	t.attempt.First(time.Now())
	httpwire.StripHop(t.resp.Header)
	a := &answer{status: t.resp.StatusCode, header: t.resp.Header, body: body.Bytes()}
	if isFailure(a.status) {
		return failed{answer: a}
	}
	t.rs.deliver(a)
	return served{}
}

// isFailure reports whether an answer with the status means that another upstream may serve the
// request.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError || impliesNotRun(status)
}

// impliesNotRun reports whether a status states that a request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayLarge relays an answer that cannot be buffered. The start of its body was already
// read. A failure is not kept in case that no other upstream serves the request, so it is
// relayed only where no other one can be tried.
func (t *transfer) relayLarge(start *buffer.Buffer) result {
	if isFailure(t.resp.StatusCode) && t.rs.mayRetry() && t.rs.reserveRetry(time.Now()) {
		t.keep = false
		return broken{reason: "the upstream answered " + t.resp.Status + " with a body that cannot be buffered"}
	}
	httpwire.StripHop(t.resp.Header)
	t.rs.begin(t.resp.StatusCode, t.resp.Header)
	t.rs.w.WriteHeader(t.resp.StatusCode)
	for text := range slices.Chunk(start.Bytes(), relayBytes) {
		if res := t.writePart(text); res != nil {
			return res
		}
	}
	start.Free()
	buf := make([]byte, relayBytes)
	for {
		n, err := t.resp.Body.Read(buf)
		if res := t.writePart(buf[:n]); res != nil {
			return res
		}
		switch {
		case errors.Is(err, io.EOF):
			t.rs.delivered = true
			return served{}
		case err != nil:
			t.keep = false
			return broken{reason: errors.Wrap(err, "read answer").Error()}
		}
	}
}

// writePart writes a part of a large answer. It returns the result of the send if the caller
// does not take it, nil otherwise.
func (t *transfer) writePart(text []byte) result {
	t.rs.extendWrite()
	if _, err := t.rs.w.Write(text); err != nil {
		t.keep = false
		t.rs.callerGone = true
		return broken{reason: errors.Wrap(errWriteToCaller, err.Error()).Error()}
	}
	return nil
}
