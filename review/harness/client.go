package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// answer is what a caller got for one request.
type answer struct {
	id     string
	sentAt time.Time
	status int // zero if there was no complete answer
	signed bool
	body   string
	err    error
}

// send sends one request with an ID of its own to an instance.
func send(to *instance, method, path, key string, timeLeft time.Duration, body []byte) answer {
	return sendWith(to, method, path, key, timeLeft, body, nil)
}

// sendWith is send with further headers.
func sendWith(to *instance, method, path, key string, timeLeft time.Duration, body []byte, headers map[string]string) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07be2a00000+lastID.Add(1)), sentAt: time.Now()}
	req, err := http.NewRequest(method, "http://"+to.addresses[callerPort]+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "desk.example"
	req.Header.Set("X-Knapweedwell-Request-Id", a.id)
	req.Header.Set("X-Knapweedwell-Deadline-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: timeLeft}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body, a.signed = resp.StatusCode, string(text), resp.Header.Get("X-Knapweedwell-Response-Signature") != ""
	return a
}
