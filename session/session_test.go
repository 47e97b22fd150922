// Package session tests the programs as separate processes. The scripts in
// testdata are whole sessions with their expected output.
package session

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	ports     = 24
	firstPort = 18000
	lastPort  = 30000
	patience  = 60 * time.Second
	pollEvery = 50 * time.Millisecond
)

var programs string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "knapweedwell")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	programs = dir
	build := exec.Command("go", "build", "-o", dir, "knapweedwell/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	return m.Run()
}

func TestSessions(t *testing.T) {
	update := os.Getenv("UPDATE_SESSIONS") != ""
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       update,
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand":     expand,
			"start":      start,
			"signal":     signalProcess,
			"ended":      ended,
			"until":      until,
			"send":       send,
			"put":        put,
			"background": background,
			"answers":    answers,
			"record":     record,
			"ticket":     ticket,
			"race":       race,
		},
	})
}

// processes are the processes of one script, by name.
type processes struct {
	mu      sync.Mutex
	running map[string]*process
	sends   sync.WaitGroup
	results []string
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

type processesKey struct{}

func setup(env *testscript.Env) error {
	env.Setenv("PATH", programs+string(os.PathListSeparator)+os.Getenv("PATH"))
	for i, port := range freePorts() {
		env.Setenv("P"+strconv.Itoa(i), strconv.Itoa(port))
	}
	ps := &processes{running: map[string]*process{}}
	env.Values[processesKey{}] = ps
	env.Defer(ps.kill)
	return nil
}

var portMu sync.Mutex

var nextPort = firstPort + os.Getpid()%100*100

// freePorts returns ports below the range that the system hands out.
func freePorts() []int {
	portMu.Lock()
	defer portMu.Unlock()
	var free []int
	for len(free) < ports {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(nextPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		free = append(free, nextPort)
	}
	return free
}

func (ps *processes) kill() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.running {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

func of(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

// expand replaces $P0 and the like in files.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// start NAME PROGRAM ARGS starts a process that logs to NAME.log.
func start(ts *testscript.TestScript, _ bool, args []string) {
	log, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd := exec.Command(filepath.Join(programs, args[1]), args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stdout, cmd.Stderr = log, log
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	ps := of(ts)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.running[args[0]] = p
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	"HUP": syscall.SIGHUP,
}

// signal NAME SIGNAL sends a signal.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	ps := of(ts)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ts.Check(ps.running[args[0]].cmd.Process.Signal(signals[args[1]]))
}

// ended NAME CODE waits for the end of a process.
func ended(ts *testscript.TestScript, _ bool, args []string) {
	ps := of(ts)
	ps.mu.Lock()
	p := ps.running[args[0]]
	delete(ps.running, args[0])
	ps.mu.Unlock()
	select {
	case <-p.done:
	case <-time.After(patience):
		ts.Fatalf("%s has not ended", args[0])
	}
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		ts.Fatalf("%s ended with %s, expected %s", args[0], got, args[1])
	}
}

// until TEXT PROGRAM ARGS runs a program, or gets a URL, until the output
// matches the text.
func until(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	deadline := time.Now().Add(patience)
	var out []byte
	for time.Now().Before(deadline) {
		if args[1] == "cat" {
			out = []byte(ts.ReadFile(args[2]))
		} else if strings.HasPrefix(args[1], "http") {
			answer, _ := exchange(append([]string{http.MethodGet}, args[1:]...))
			out = []byte(answer)
		} else {
			cmd := exec.Command(filepath.Join(programs, args[1]), args[2:]...)
			cmd.Dir = ts.MkAbs(".")
			out, _ = cmd.CombinedOutput()
		}
		if pattern.Match(out) {
			return
		}
		time.Sleep(pollEvery)
	}
	ts.Fatalf("no match for %q; the last output was:\n%s", args[0], out)
}

// send METHOD URL [Header:Value]... [BODY] sends a request and appends its
// normalised answer to the file transcript.
func send(ts *testscript.TestScript, _ bool, args []string) {
	answer, id := exchange(args)
	ts.Setenv("REQUEST", id)
	appendTo(ts, "transcript", "> "+normalize(strings.Join(args, " "))+"\n"+normalize(answer))
}

// put URL FILE puts a file and expects that it is accepted.
func put(ts *testscript.TestScript, _ bool, args []string) {
	answer, _ := exchange([]string{http.MethodPut, args[0], strings.TrimSpace(ts.ReadFile(args[1]))})
	if !strings.HasPrefix(answer, "200 ") {
		ts.Fatalf("put %s: %s", args[0], answer)
	}
}

// background sends like send, but does not wait. The command answers collects
// the answers.
func background(ts *testscript.TestScript, _ bool, args []string) {
	ps := of(ts)
	ps.sends.Add(1)
	go func() {
		defer ps.sends.Done()
		answer, _ := exchange(args)
		ps.mu.Lock()
		defer ps.mu.Unlock()
		ps.results = append(ps.results, answer)
	}()
}

// answers FILE waits for the background answers and writes them to a file.
func answers(ts *testscript.TestScript, _ bool, args []string) {
	ps := of(ts)
	ps.sends.Wait()
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Join(ps.results, "")), 0o600))
	ps.results = nil
}

// exchange sends a request and returns the answer and its request ID.
func exchange(args []string) (string, string) {
	var body string
	rest := args[2:]
	if n := len(rest); n > 0 && strings.HasPrefix(rest[n-1], "{") {
		body, rest = rest[n-1], rest[:n-1]
	}
	req, err := http.NewRequest(args[0], args[1], bytes.NewBufferString(body))
	if err != nil {
		return err.Error() + "\n", ""
	}
	for _, h := range rest {
		name, value, _ := strings.Cut(h, ":")
		if name == "Host" {
			req.Host = value
			continue
		}
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * patience}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer\n", ""
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	cut := ""
	if err != nil {
		cut = "CUT\n"
	}
	return fmt.Sprintf("%s\n%s\n%s", resp.Status, strings.TrimSpace(string(answer)), cut), resp.Header.Get("Knapweedwell-Request-Id")
}

// record PROGRAM ARGS runs a program and appends its normalised output to the
// file transcript.
func record(ts *testscript.TestScript, _ bool, args []string) {
	cmd := exec.Command(filepath.Join(programs, args[0]), args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	out, _ := cmd.CombinedOutput()
	appendTo(ts, "transcript", fmt.Sprintf("$ %s\n%s[exit %d]\n", normalize(strings.Join(args, " ")), normalize(string(out)), cmd.ProcessState.ExitCode()))
}

func appendTo(ts *testscript.TestScript, name, text string) {
	f, err := os.OpenFile(ts.MkAbs(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	_, err = f.WriteString(text)
	ts.Check(err)
	ts.Check(f.Close())
}

// ticket VARIABLE URL asks for addresses and keeps the ticket in a variable.
func ticket(ts *testscript.TestScript, _ bool, args []string) {
	answer, _ := exchange([]string{http.MethodGet, args[1]})
	m := ticketPattern.FindString(answer)
	if m == "" {
		ts.Fatalf("no ticket from %s", args[1])
	}
	ts.Setenv(args[0], m)
}

var ticketPattern = regexp.MustCompile(`kw1\.[^"\s]+`)

// race ADDRESS FILE ADDRESS FILE applies two files to the same revision at once
// and expects that exactly one is accepted.
func race(ts *testscript.TestScript, _ bool, args []string) {
	out, err := exec.Command(filepath.Join(programs, "knapweedwell"), "get", "-address", args[0]).Output()
	ts.Check(err)
	var base string
	_, err = fmt.Sscanf(string(out), "# revision %s", &base)
	ts.Check(err)
	codes := make([]int, 2)
	var wait sync.WaitGroup
	for i := range 2 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			cmd := exec.Command(filepath.Join(programs, "knapweedwell"), "apply", "-base", base, "-address", args[2*i], args[2*i+1])
			cmd.Dir = ts.MkAbs(".")
			_ = cmd.Run()
			codes[i] = cmd.ProcessState.ExitCode()
		}()
	}
	wait.Wait()
	const applied, conflict = 0, 3
	if codes[0]+codes[1] != applied+conflict || codes[0]*codes[1] != 0 {
		ts.Fatalf("two changes of one revision ended with exit codes %v", codes)
	}
}

// normalizers replace what differs from run to run.
var normalizers = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{ticketPattern, "TICKET"},
	{regexp.MustCompile(`(entry-\d)-[0-9a-f]{8}-[0-9a-f]{4}(\.\d+)?`), "$1-ID"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f-]{22}`), "UUID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "TIME"},
	{regexp.MustCompile(`\d+(\.\d+)?(ms|µs)`), "DURATION"},
	{regexp.MustCompile(`\+\d+(\.\d+)?s?\s+`), "+DURATION "},
	{regexp.MustCompile(`( +)\d+s( +)`), "  AGE  "},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`by \w+, to revision`), "by AUTHOR, to revision"},
	{regexp.MustCompile(`"FirstToken": \d+`), `"FirstToken": DURATION`},
	{regexp.MustCompile(`(  )\d+\.\d+s\n`), "${1}DURATION\n"},
}

func normalize(text string) string {
	for _, n := range normalizers {
		text = n.pattern.ReplaceAllString(text, n.with)
	}
	return text
}
