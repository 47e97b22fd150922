// Package session tests the programs as separate processes. The scripts in
// testdata are complete sessions with their expected output.
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
	portsPerScript = 24
	firstPort      = 18000
	lastPort       = 30000
	waitTimeout    = 60 * time.Second
	pollInterval   = 50 * time.Millisecond
)

var programDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "knapweedwell")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	programDir = dir
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
			"expand":     expandVariables,
			"start":      startProcess,
			"signal":     signalProcess,
			"ended":      waitExit,
			"until":      waitForOutput,
			"send":       sendRequest,
			"put":        putFile,
			"background": sendBackground,
			"answers":    writeAnswers,
			"record":     recordOutput,
			"ticket":     fetchTicket,
			"race":       raceApplies,
		},
	})
}

// processes holds the running processes of one script, by name, and the answers
// to its background requests.
type processes struct {
	mu                sync.Mutex
	running           map[string]*process
	backgroundSends   sync.WaitGroup
	backgroundAnswers []string
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

type processesKey struct{}

func setup(env *testscript.Env) error {
	env.Setenv("PATH", programDir+string(os.PathListSeparator)+os.Getenv("PATH"))
	for i, port := range freePorts() {
		env.Setenv("P"+strconv.Itoa(i), strconv.Itoa(port))
	}
	ps := &processes{running: map[string]*process{}}
	env.Values[processesKey{}] = ps
	env.Defer(ps.killAll)
	return nil
}

var (
	portMu sync.Mutex
	// nextPort, guarded by portMu, is the port before the next one to try. Its first
	// value depends on the process ID, so that concurrent runs try different ports.
	nextPort = firstPort + os.Getpid()%100*100
)

// freePorts returns portsPerScript free ports below the range of ephemeral
// ports, which the system assigns to outgoing connections.
func freePorts() []int {
	portMu.Lock()
	defer portMu.Unlock()
	var free []int
	for len(free) < portsPerScript {
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

// killAll kills the processes, also suspended ones, and waits for their end.
func (ps *processes) killAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.running {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

// expandVariables implements the command "expand FILE...", which replaces
// variables such as $P0 in files.
func expandVariables(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// startProcess implements the command "start NAME PROGRAM ARGS", which starts a
// process that logs to NAME.log.
func startProcess(ts *testscript.TestScript, _ bool, args []string) {
	log, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd := exec.Command(filepath.Join(programDir, args[1]), args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stdout, cmd.Stderr = log, log
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	ps := processesOf(ts)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.running[args[0]] = p
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	"HUP": syscall.SIGHUP,
}

// signalProcess implements the command "signal NAME SIGNAL", which sends a
// signal.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	ps := processesOf(ts)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ts.Check(ps.running[args[0]].cmd.Process.Signal(signals[args[1]]))
}

// waitExit implements the command "ended NAME CODE", which waits for the end of
// a process and checks its exit code.
func waitExit(ts *testscript.TestScript, _ bool, args []string) {
	ps := processesOf(ts)
	ps.mu.Lock()
	p := ps.running[args[0]]
	delete(ps.running, args[0])
	ps.mu.Unlock()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		ts.Fatalf("%s has not ended within %s", args[0], waitTimeout)
	}
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		ts.Fatalf("%s ended with exit code %s, expected %s", args[0], got, args[1])
	}
}

// waitForOutput implements the command "until PATTERN PROGRAM ARGS", which runs
// a program, reads a file ("cat FILE") or fetches a URL repeatedly until the
// output matches the pattern.
func waitForOutput(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	deadline := time.Now().Add(waitTimeout)
	var out []byte
	for time.Now().Before(deadline) {
		if args[1] == "cat" {
			out = []byte(ts.ReadFile(args[2]))
		} else if strings.HasPrefix(args[1], "http") {
			answer, _ := doRequest(append([]string{http.MethodGet}, args[1:]...))
			out = []byte(answer)
		} else {
			cmd := exec.Command(filepath.Join(programDir, args[1]), args[2:]...)
			cmd.Dir = ts.MkAbs(".")
			out, _ = cmd.CombinedOutput()
		}
		if pattern.Match(out) {
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("no match for %q within %s; last output:\n%s", args[0], waitTimeout, out)
}

// sendRequest implements the command "send METHOD URL [Header:Value]... [BODY]",
// which sends a request, appends its normalised answer to the file transcript
// and sets the variable REQUEST to the request ID.
func sendRequest(ts *testscript.TestScript, _ bool, args []string) {
	answer, id := doRequest(args)
	ts.Setenv("REQUEST", id)
	appendFile(ts, "transcript", "> "+normalize(strings.Join(args, " "))+"\n"+normalize(answer))
}

// putFile implements the command "put URL FILE", which puts a file and expects
// the status 200.
func putFile(ts *testscript.TestScript, _ bool, args []string) {
	answer, _ := doRequest([]string{http.MethodPut, args[0], strings.TrimSpace(ts.ReadFile(args[1]))})
	if !strings.HasPrefix(answer, "200 ") {
		ts.Fatalf("put %s: got %s, expected status 200", args[0], answer)
	}
}

// sendBackground implements the command "background", which sends a request like
// send but does not wait. The command answers collects the answers.
func sendBackground(ts *testscript.TestScript, _ bool, args []string) {
	ps := processesOf(ts)
	ps.backgroundSends.Add(1)
	go func() {
		defer ps.backgroundSends.Done()
		answer, _ := doRequest(args)
		ps.mu.Lock()
		defer ps.mu.Unlock()
		ps.backgroundAnswers = append(ps.backgroundAnswers, answer)
	}()
}

// writeAnswers implements the command "answers FILE", which waits for the
// answers to all background requests and writes them to a file.
func writeAnswers(ts *testscript.TestScript, _ bool, args []string) {
	ps := processesOf(ts)
	ps.backgroundSends.Wait()
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Join(ps.backgroundAnswers, "")), 0o600))
	ps.backgroundAnswers = nil
}

// doRequest sends a request and returns the answer and its request ID. An answer
// whose body is incomplete ends with the line CUT; without an answer the text is
// "no answer" or the error.
func doRequest(args []string) (string, string) {
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
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * waitTimeout}
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

// recordOutput implements the command "record PROGRAM ARGS", which runs a
// program and appends its normalised output and exit code to the file transcript.
func recordOutput(ts *testscript.TestScript, _ bool, args []string) {
	cmd := exec.Command(filepath.Join(programDir, args[0]), args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	out, _ := cmd.CombinedOutput()
	appendFile(ts, "transcript", fmt.Sprintf("$ %s\n%s[exit %d]\n", normalize(strings.Join(args, " ")), normalize(string(out)), cmd.ProcessState.ExitCode()))
}

func appendFile(ts *testscript.TestScript, name, text string) {
	f, err := os.OpenFile(ts.MkAbs(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	_, err = f.WriteString(text)
	ts.Check(err)
	ts.Check(f.Close())
}

// fetchTicket implements the command "ticket VARIABLE URL", which requests
// addresses and stores the ticket of the answer in a variable.
func fetchTicket(ts *testscript.TestScript, _ bool, args []string) {
	answer, _ := doRequest([]string{http.MethodGet, args[1]})
	m := ticketPattern.FindString(answer)
	if m == "" {
		ts.Fatalf("answer of %s contains no ticket: %s", args[1], answer)
	}
	ts.Setenv(args[0], m)
}

var ticketPattern = regexp.MustCompile(`kw1\.[^"\s]+`)

// raceApplies implements the command "race ADDRESS FILE ADDRESS FILE", which
// applies two files to the same revision concurrently and expects that exactly
// one is accepted.
func raceApplies(ts *testscript.TestScript, _ bool, args []string) {
	out, err := exec.Command(filepath.Join(programDir, "knapweedwell"), "get", "-address", args[0]).Output()
	ts.Check(err)
	var base string
	_, err = fmt.Sscanf(string(out), "# revision %s", &base)
	ts.Check(err)
	codes := make([]int, 2)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cmd := exec.Command(filepath.Join(programDir, "knapweedwell"), "apply", "-base", base, "-address", args[2*i], args[2*i+1])
			cmd.Dir = ts.MkAbs(".")
			_ = cmd.Run()
			codes[i] = cmd.ProcessState.ExitCode()
		}()
	}
	wg.Wait()
	const applied, conflict = 0, 3
	if codes[0]+codes[1] != applied+conflict || codes[0]*codes[1] != 0 {
		ts.Fatalf("two changes of one revision: exit codes %v, expected one %d and one %d", codes, applied, conflict)
	}
}

// normalizers replace the parts of the output that differ between runs.
var normalizers = []struct {
	pattern     *regexp.Regexp
	replacement string
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
	for _, rule := range normalizers {
		text = rule.pattern.ReplaceAllString(text, rule.replacement)
	}
	return text
}
