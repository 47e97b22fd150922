package main

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"time"
)

// headDelay is the time after which the head of a watch's answer is sent, if there are no
// changes yet.
const headDelay = 5 * time.Millisecond

// handler returns a handler that sends the head of a waiting watch's answer before there are
// changes, and ends the connection of a watch that is cut off.
func (s *store) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("watch") {
			next.ServeHTTP(w, r)
			return
		}
		s.mu.Lock()
		cut := s.cut
		s.mu.Unlock()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		answer := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			next.ServeHTTP(answer, r.WithContext(ctx))
		}()
		select {
		case <-answered:
			maps.Copy(w.Header(), answer.Header())
			w.WriteHeader(answer.Code)
			_, _ = w.Write(answer.Body.Bytes())
			return
		case <-time.After(headDelay):
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-answered:
		case <-cut:
			panic(http.ErrAbortHandler)
		}
		if answer.Code != http.StatusOK {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(answer.Body.Bytes())
	})
}
