package inifile

import (
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Reader reads typed values from one section and collects findings in the
// file. Keys that were never asked for are reported by Finish.
type Reader struct {
	File    *File
	Section *Section
	asked   map[string]bool
}

// Read returns a reader of the section.
func (f *File) Read(s *Section) *Reader {
	return &Reader{File: f, Section: s, asked: map[string]bool{}}
}

// Find records a finding at the given key, or at the section if the key is
// not set.
func (r *Reader) Find(key, format string, args ...any) {
	line := r.Section.Line
	if v, ok := r.Section.Keys[key]; ok {
		line = v.Line
	}
	r.File.find(line, r.Section.Header(), key, fmt.Sprintf(format, args...))
}

func (r *Reader) get(key string) (string, bool) {
	r.asked[key] = true
	v, ok := r.Section.Keys[key]
	return v.Text, ok
}

// Has reports whether the key is set.
func (r *Reader) Has(key string) bool {
	_, ok := r.Section.Keys[key]
	return ok
}

// Text returns the value of the key, or the default if it is not set.
func (r *Reader) Text(key, def string) string {
	if text, ok := r.get(key); ok {
		return text
	}
	return def
}

// Required returns the value of the key and reports a missing or empty one.
func (r *Reader) Required(key, expected string) string {
	text, _ := r.get(key)
	if text == "" {
		r.Find(key, "missing; expected %s", expected)
	}
	return text
}

// Duration returns a duration of at least min.
func (r *Reader) Duration(key string, def, minimum time.Duration) time.Duration {
	text, ok := r.get(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minimum {
		r.Find(key, "%q is not a duration; expected at least %s, such as 250ms or 2s", text, minimum)
		return def
	}
	return d
}

// Int returns a whole number between lo and hi.
func (r *Reader) Int(key string, def, lo, hi int) int {
	text, ok := r.get(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < lo || n > hi {
		r.Find(key, "%q is not accepted; expected a whole number from %d to %d", text, lo, hi)
		return def
	}
	return n
}

// Float returns a number between lo and hi.
func (r *Reader) Float(key string, def, lo, hi float64) float64 {
	text, ok := r.get(key)
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= lo && x <= hi) {
		r.Find(key, "%q is not accepted; expected a number from %g to %g", text, lo, hi)
		return def
	}
	return x
}

// Bool returns true or false.
func (r *Reader) Bool(key string, def bool) bool {
	text, ok := r.get(key)
	if !ok {
		return def
	}
	switch text {
	case "true":
		return true
	case "false":
		return false
	}
	r.Find(key, "%q is not accepted; expected true or false", text)
	return def
}

// Names returns the comma-separated names of the key.
func (r *Reader) Names(key string) []string {
	text, ok := r.get(key)
	if !ok || text == "" {
		return nil
	}
	var names []string
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			r.Find(key, "an empty name; expected names separated by commas")
			continue
		}
		names = append(names, name)
	}
	return names
}

// Address returns an IP address with port.
func (r *Reader) Address(key string, required bool) string {
	text, ok := r.get(key)
	if !ok && !required {
		return ""
	}
	if err := CheckAddress(text); err != nil {
		r.Find(key, "%v", err)
	}
	return text
}

// Addresses returns comma-separated IP addresses with ports.
func (r *Reader) Addresses(key string) []string {
	names := r.Names(key)
	for _, name := range names {
		if err := CheckAddress(name); err != nil {
			r.Find(key, "%v", err)
		}
	}
	return names
}

// CheckAddress returns an error unless the text is IP:port.
func CheckAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an address; expected IP:port, such as 127.0.0.1:8080", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q is not an address; expected a port from 0 to 65535", text)
	}
	return nil
}

// Finish reports the keys of the section that were never asked for.
func (r *Reader) Finish() {
	known := make([]string, 0, len(r.asked))
	for key := range r.asked {
		known = append(known, key)
	}
	sort.Strings(known)
	for key := range r.Section.Keys {
		if !r.asked[key] {
			r.Find(key, "unknown key; expected one of %s", strings.Join(known, ", "))
		}
	}
}
