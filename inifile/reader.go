package inifile

import (
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Reader reads typed values from one section and adds findings to the file. Finish
// reports the keys that were not read.
type Reader struct {
	File     *File
	Section  *Section
	keysRead map[string]bool
}

// NewReader returns a reader of the section.
func (f *File) NewReader(s *Section) *Reader {
	return &Reader{File: f, Section: s, keysRead: map[string]bool{}}
}

// AddFinding adds a finding at the given key, or at the section if the key is
// not set.
func (r *Reader) AddFinding(key, format string, args ...any) {
	line := r.Section.Line
	if v, ok := r.Section.Keys[key]; ok {
		line = v.Line
	}
	r.File.addFinding(line, r.Section.Header(), key, fmt.Sprintf(format, args...))
}

func (r *Reader) lookup(key string) (string, bool) {
	r.keysRead[key] = true
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
	if text, ok := r.lookup(key); ok {
		return text
	}
	return def
}

// Required returns the value of the key. It adds a finding if the value is missing
// or empty.
func (r *Reader) Required(key, expected string) string {
	text, _ := r.lookup(key)
	if text == "" {
		r.AddFinding(key, "missing; expected %s", expected)
	}
	return text
}

// Duration returns a duration of at least minimum, or def if the key is not set.
// It adds a finding and returns def if the value is not accepted.
func (r *Reader) Duration(key string, def, minimum time.Duration) time.Duration {
	text, ok := r.lookup(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minimum {
		r.AddFinding(key, "%q is not a duration; expected at least %s, such as 250ms or 2s", text, minimum)
		return def
	}
	return d
}

// Int returns a whole number from lo to hi, or def if the key is not set. It adds
// a finding and returns def if the value is not accepted.
func (r *Reader) Int(key string, def, lo, hi int) int {
	text, ok := r.lookup(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < lo || n > hi {
		r.AddFinding(key, "%q is not accepted; expected a whole number from %d to %d", text, lo, hi)
		return def
	}
	return n
}

// Float returns a number from lo to hi, or def if the key is not set. It adds a
// finding and returns def if the value is not accepted.
func (r *Reader) Float(key string, def, lo, hi float64) float64 {
	text, ok := r.lookup(key)
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= lo && x <= hi) {
		r.AddFinding(key, "%q is not accepted; expected a number from %g to %g", text, lo, hi)
		return def
	}
	return x
}

// Bool returns the value of a key that is true or false, or def if the key is not
// set. It adds a finding and returns def if the value is not accepted.
func (r *Reader) Bool(key string, def bool) bool {
	text, ok := r.lookup(key)
	if !ok {
		return def
	}
	switch text {
	case "true":
		return true
	case "false":
		return false
	}
	r.AddFinding(key, "%q is not accepted; expected true or false", text)
	return def
}

// Names returns the comma-separated names of the key. It adds a finding for each
// empty name.
func (r *Reader) Names(key string) []string {
	text, ok := r.lookup(key)
	if !ok || text == "" {
		return nil
	}
	var names []string
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			r.AddFinding(key, "an empty name; expected names separated by commas")
			continue
		}
		names = append(names, name)
	}
	return names
}

// Address returns an IP address with port. It adds a finding if the value is not
// one, or if a required key is not set.
func (r *Reader) Address(key string, required bool) string {
	text, ok := r.lookup(key)
	if !ok && !required {
		return ""
	}
	if err := CheckAddress(text); err != nil {
		r.AddFinding(key, "%v", err)
	}
	return text
}

// Addresses returns comma-separated IP addresses with ports. It adds a finding for
// each item that is not one.
func (r *Reader) Addresses(key string) []string {
	names := r.Names(key)
	for _, name := range names {
		if err := CheckAddress(name); err != nil {
			r.AddFinding(key, "%v", err)
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

// Finish adds a finding for each key of the section that was not read.
func (r *Reader) Finish() {
	expected := make([]string, 0, len(r.keysRead))
	for key := range r.keysRead {
		expected = append(expected, key)
	}
	sort.Strings(expected)
	for key := range r.Section.Keys {
		if !r.keysRead[key] {
			r.AddFinding(key, "unknown key; expected one of %s", strings.Join(expected, ", "))
		}
	}
}
