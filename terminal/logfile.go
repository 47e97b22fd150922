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

const maxLineBytes = 1 << 20

// logLine is one line of an instance's log.
type logLine struct {
	Time     string
	Instance string
	Message  string
	Fields   map[string]any // other fields by name, without request ID and level
}

// explainLogs prints the lines about a request from log files, sorted by time.
// The names of the files are separated by commas; "-" is the standard input.
func (t *Terminal) explainLogs(files, id string) error {
	var lines []logLine
	for _, name := range strings.Split(files, ",") {
		found, err := readLogLines(name, id)
		if err != nil {
			return fail(ExitFailed, "%v", err)
		}
		lines = append(lines, found...)
	}
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

// readLogLines returns the lines of a log file about a request. It skips lines
// that are not JSON, such as those of a crash report.
func readLogLines(name, id string) ([]logLine, error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		defer f.Close()
		in = f
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []logLine
	for scanner.Scan() {
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes(), &fields) != nil || fields["RequestID"] != id {
			continue
		}
		l := logLine{Fields: fields}
		l.Time, _ = fields["Time"].(string)
		l.Instance, _ = fields["Instance"].(string)
		l.Message, _ = fields["Message"].(string)
		for _, key := range []string{"Time", "Instance", "Message", "RequestID", "Level"} {
			delete(fields, key)
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrapf(scanner.Err(), "read %s", name)
}
