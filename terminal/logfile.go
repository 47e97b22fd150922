package terminal

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

const (
	maxLineBytes = 1 << 20
	maxPartLines = 10000 // lines about prompt parts that are kept of one file
)

// logLine is one line of an instance's log.
type logLine struct {
	Time     string
	Instance string
	Message  string
	Fields   map[string]any // other fields by name, without request ID and level
}

// explainLogs prints the lines about a request from log files, sorted by time, and those
// about a part of its prompt for which it was refused. The names of the files are
// separated by commas; "-" is the standard input.
func (t *Terminal) explainLogs(files, id string) error {
	var lines, partLines []logLine
	for _, name := range strings.Split(files, ",") {
		found, parts, err := readLogLines(name, id)
		if err != nil {
			return fail(ExitFailed, "%v", err)
		}
		lines = append(lines, found...)
		partLines = append(partLines, parts...)
	}
	lines = append(lines, aboutParts(partLines, lines)...)
	if len(lines) == 0 {
		return fail(ExitFailed, "no line about request %s in %s", id, files)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	if t.wantsJSON() {
		return t.json(lines)
	}
	for _, l := range lines {
		fmt.Fprintf(t.Out, "%s %s %s", l.Time, l.Instance, l.Message)
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Fprintf(t.Out, " %s=%v", name, l.Fields[name])
		}
		fmt.Fprintln(t.Out)
	}
	return nil
}

// aboutParts returns those of the lines that are about a part which refused lines name.
func aboutParts(lines, refused []logLine) []logLine {
	parts := map[any]bool{}
	for _, l := range refused {
		if part, ok := l.Fields["Part"]; ok {
			parts[part] = true
		}
	}
	var about []logLine
	for _, l := range lines {
		if parts[l.Fields["Part"]] {
			about = append(about, l)
		}
	}
	return about
}

// readLogLines returns the lines of a log file about a request and those about prompt
// parts. It skips lines that are not JSON, such as those of a crash report.
func readLogLines(name, id string) (lines, partLines []logLine, err error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, nil, errors.Wrap(err, "open log")
		}
		defer f.Close()
		in = f
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes(), &fields) != nil {
			continue
		}
		switch _, ofPart := fields["Part"].(string); {
		case fields["RequestID"] == id:
			lines = append(lines, newLogLine(fields))
		case ofPart && fields["RequestID"] == nil && len(partLines) < maxPartLines:
			partLines = append(partLines, newLogLine(fields))
		}
	}
	return lines, partLines, errors.Wrapf(scanner.Err(), "read %s", name)
}

// newLogLine returns the line with the fields. It changes the map.
func newLogLine(fields map[string]any) logLine {
	l := logLine{Fields: fields}
	l.Time, _ = fields["Time"].(string)
	l.Instance, _ = fields["Instance"].(string)
	l.Message, _ = fields["Message"].(string)
	for _, key := range []string{"Time", "Instance", "Message", "RequestID", "Level"} {
		delete(fields, key)
	}
	return l
}
