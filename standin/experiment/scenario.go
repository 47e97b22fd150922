package experiment

import (
	"os"
	"time"

	"knapweedwell/inifile"
)

// Scenario describes engines, demand and faults.
type Scenario struct {
	Name            string
	Duration        time.Duration
	Instances       int // number of instances that receive requests
	Engines         int
	Ceiling         int           // configured concurrency of an engine
	MaxBatch        int           // maximum number of sequences in one step of an engine
	StepBase        time.Duration // constant part of the duration of a step
	StepPerSequence time.Duration // added to the duration of a step for each sequence
	PrefillPerToken time.Duration // prefill time of one prompt token
	LoadLag         time.Duration // age of a load report when the shards receive it
	QueueLimit      int
	Classes         []Class
	Faults          []Fault
}

// Class is one class of requests with its share of the demand. A latency target
// of zero means none.
type Class struct {
	Name               string
	Rank               int
	Preempts           bool
	Floor              float64
	Share              float64 // fraction of all requested tokens
	Tokens             int     // median answer length; the distribution has a heavy tail
	PromptTokens       int     // prompt length in tokens
	Prefixes           int     // number of shared prompt prefixes
	Streamed           bool
	FirstToken         time.Duration // target of the time to the first token
	BetweenToken       time.Duration // target of the mean time between tokens
	Whole              time.Duration // target of the time to the complete answer
	QueueTimeout       time.Duration // maximum time in the queue
	Burst              float64       // multiplies the demand between BurstFrom and BurstTo
	BurstFrom, BurstTo time.Duration
}

// FaultKind is the kind of a fault of an engine.
type FaultKind string

// The kinds of fault.
const (
	Slow  FaultKind = "slow"  // multiplies the duration of its steps by Factor
	Crash FaultKind = "crash" // aborts all its requests and refuses new ones
)

// Fault is a fault of one engine between the times From and To since the start
// of the demand.
type Fault struct {
	Kind     FaultKind
	Engine   int
	Factor   float64
	From, To time.Duration
}

// Read reads a scenario file. The error, if any, is of type inifile.Findings.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, inifile.Findings{{File: path, Line: 1, Message: err.Error()}}
	}
	f := inifile.Parse(path, string(text))
	sc := &Scenario{Name: path}
	for _, s := range f.Sections {
		r := f.NewReader(s)
		switch s.Kind {
		case "Scenario":
			sc.read(r)
		case "Class":
			sc.Classes = append(sc.Classes, readClass(r, s.Name))
		case "Fault":
			sc.Faults = append(sc.Faults, readFault(r))
		default:
			r.AddFinding("", "unknown section; expected [Scenario], [Class NAME] or [Fault NAME]")
			continue
		}
		r.Finish()
	}
	if len(f.Findings) > 0 {
		return nil, f.Findings
	}
	return sc, nil
}

// read sets the fields of the section [Scenario].
func (sc *Scenario) read(r *inifile.Reader) {
	sc.Name = r.Text("Name", sc.Name)
	sc.Duration = r.Duration("Duration", 5*time.Minute, time.Second)
	sc.Instances = r.Int("Instances", 6, 1, 1000)
	sc.Engines = r.Int("Engines", 10, 1, 10000)
	sc.Ceiling = r.Int("Ceiling", 8, 1, 1000)
	sc.MaxBatch = r.Int("MaxBatch", 8, 1, 1000)
	sc.StepBase = r.Duration("StepBase", 20*time.Millisecond, 0)
	sc.StepPerSequence = r.Duration("StepPerSequence", 2*time.Millisecond, 0)
	sc.PrefillPerToken = r.Duration("PrefillPerToken", 200*time.Microsecond, 0)
	sc.LoadLag = r.Duration("LoadLag", 500*time.Millisecond, 0)
	sc.QueueLimit = r.Int("QueueLimit", 200, 1, 1000000)
}

// readClass returns the class of a section [Class NAME].
func readClass(r *inifile.Reader, name string) Class {
	return Class{
		Name:         name,
		Rank:         r.Int("Rank", 1, 1, 100),
		Preempts:     r.Bool("Preempts", false),
		Floor:        r.Float("Floor", 0.01, 0, 0.5),
		Share:        r.Float("Share", 0, 0, 1),
		Tokens:       r.Int("Tokens", 40, 1, 100000),
		PromptTokens: r.Int("Prompt", 500, 1, 1000000),
		Prefixes:     r.Int("Prefixes", 20, 1, 1000000),
		Streamed:     r.Bool("Stream", true),
		FirstToken:   r.Duration("FirstToken", 0, 0),
		BetweenToken: r.Duration("BetweenToken", 0, 0),
		Whole:        r.Duration("Whole", 0, 0),
		QueueTimeout: r.Duration("QueueTimeout", 30*time.Second, 0),
		Burst:        r.Float("Burst", 1, 0, 1000),
		BurstFrom:    r.Duration("BurstFrom", 0, 0),
		BurstTo:      r.Duration("BurstTo", 0, 0),
	}
}

// readFault returns the fault of a section [Fault NAME].
func readFault(r *inifile.Reader) Fault {
	f := Fault{
		Kind:   FaultKind(r.Text("Kind", string(Slow))),
		Engine: r.Int("Engine", 0, 0, 10000),
		Factor: r.Float("Factor", 1, 0.1, 1000),
		From:   r.Duration("From", 0, 0),
		To:     r.Duration("To", 0, 0),
	}
	if f.Kind != Slow && f.Kind != Crash {
		r.AddFinding("Kind", "%q is not accepted; expected slow or crash", f.Kind)
	}
	return f
}

// TokenRate returns the tokens per second that all engines together generate
// if each runs a batch of Ceiling sequences, but at most MaxBatch.
func (sc *Scenario) TokenRate() float64 {
	batch := min(sc.Ceiling, sc.MaxBatch)
	step := sc.StepBase + sc.StepPerSequence*time.Duration(batch)
	return float64(sc.Engines) * float64(batch) / step.Seconds()
}
