// Package inifile reads INI text and records the line of every section and key, so
// that findings can name file, line, section and key.
package inifile

import (
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// Finding is one fault in an INI text, with its place.
type Finding struct {
	File    string
	Line    int
	Section string
	Key     string
	Message string
}

// String renders the finding as file:line: [section] key: message.
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings is a list of findings that is also an error.
type Findings []Finding

// Error renders one finding per line, ordered by line.
func (fs Findings) Error() string {
	sorted := append(Findings(nil), fs...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Line < sorted[j].Line })
	lines := make([]string, len(sorted))
	for i, f := range sorted {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Value is the text of one key and its line.
type Value struct {
	Text string
	Line int
}

// Section is one section. Kind is the first word of its header and Name is the
// rest.
type Section struct {
	Kind string
	Name string
	Line int
	Keys map[string]Value
}

// Header returns the section's header without brackets.
func (s *Section) Header() string {
	return strings.TrimSpace(s.Kind + " " + s.Name)
}

// Empty reports whether all values of the section are empty, as a template leaves them where a
// deployment has none of them.
func (s *Section) Empty() bool {
	for _, v := range s.Keys {
		if v.Text != "" {
			return false
		}
	}
	return true
}

// File is a parsed INI text.
type File struct {
	Name     string
	Sections []*Section
	Findings Findings

	byHeader map[string]*Section
}

// Parse reads an INI text. It adds a finding to the file for each fault.
func Parse(name, text string) *File {
	f := &File{Name: name, byHeader: map[string]*Section{}}
	opts := ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true, KeyValueDelimiters: "="}
	parsed, err := ini.LoadSources(opts, []byte(text))
	if err != nil {
		f.addFinding(errorLine(text, err), "", "", fmt.Sprintf("not INI: %s; expected [Section] and Key = Value lines", strings.TrimSpace(err.Error())))
		return f
	}
	f.scan(text)
	f.fillValues(parsed)
	return f
}

func (f *File) addFinding(line int, section, key, message string) {
	f.Findings = append(f.Findings, Finding{File: f.Name, Line: line, Section: section, Key: key, Message: message})
}

// errorLine returns the number of the line that a parser error quotes, or 1 if no
// line matches.
func errorLine(text string, err error) int {
	for i, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if trimmed != "" && strings.HasSuffix(strings.TrimSpace(err.Error()), trimmed) {
			return i + 1
		}
	}
	return 1
}

// scan records the line of every section and key. It adds findings for duplicates
// and for keys before the first section.
func (f *File) scan(text string) {
	var section *Section
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = f.addSection(strings.Trim(line, "[] \t"), i+1)
		default:
			f.addKey(section, line, i+1)
		}
	}
}

// addSection adds a section, or returns the earlier one that has the same header.
func (f *File) addSection(header string, line int) *Section {
	kind, name, _ := strings.Cut(header, " ")
	s := &Section{Kind: kind, Name: strings.TrimSpace(name), Line: line, Keys: map[string]Value{}}
	if other := f.byHeader[s.Header()]; other != nil {
		f.addFinding(line, s.Header(), "", fmt.Sprintf("section stands twice; first at line %d", other.Line))
		return other
	}
	f.byHeader[s.Header()] = s
	f.Sections = append(f.Sections, s)
	return s
}

func (f *File) addKey(s *Section, text string, line int) {
	name, _, _ := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	if s == nil {
		f.addFinding(line, "", name, "key before the first section")
		return
	}
	if other, duplicate := s.Keys[name]; duplicate {
		f.addFinding(line, s.Header(), name, fmt.Sprintf("key stands twice; first at line %d", other.Line))
		return
	}
	s.Keys[name] = Value{Line: line}
}

// fillValues copies the parsed values to the scanned keys.
func (f *File) fillValues(parsed *ini.File) {
	values := map[string]map[string]string{}
	for _, s := range parsed.Sections() {
		values[strings.Join(strings.Fields(s.Name()), " ")] = s.KeysHash()
	}
	for _, s := range f.Sections {
		parsedKeys := values[strings.Join(strings.Fields(s.Header()), " ")]
		for key, v := range s.Keys {
			s.Keys[key] = Value{Text: parsedKeys[key], Line: v.Line}
		}
	}
}
