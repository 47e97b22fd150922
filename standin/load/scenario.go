// Package load is an open-loop load generator. For each class it reports the
// attainment, the goodput and the wasted tokens as callers observe them.
package load

import (
	"os"
	"time"

	"knapweedwell/inifile"
)

// Scenario describes the load of several classes over time.
type Scenario struct {
	Name     string
	Seed     uint64
	Duration time.Duration
	Loads    []ClassLoad
}

// ClassLoad is the load of one class on a model or a service. A latency target of
// zero means none.
type ClassLoad struct {
	Class        string
	Key          string  // bearer key of the organisation
	Model        string  // empty for a service
	Service      string  // empty for a model
	Rate         float64 // mean number of requests per second
	Burst        float64 // multiplies the rate between BurstFrom and BurstTo
	BurstFrom    time.Duration
	BurstTo      time.Duration
	Tokens       int // median answer length; the distribution has a heavy tail
	PromptBytes  int // prompt length in bytes
	Streamed     bool
	FirstToken   time.Duration // target of the time to the first token
	BetweenToken time.Duration // target of the mean time between tokens
	Whole        time.Duration // target of the time to the end of the answer
}

// Read reads a scenario file. The error, if any, is of type inifile.Findings.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, inifile.Findings{{File: path, Line: 1, Message: err.Error()}}
	}
	return Parse(path, string(text))
}

// Parse reads a scenario from text; findings refer to it by name. The error, if
// any, is of type inifile.Findings.
func Parse(name, text string) (*Scenario, error) {
	f := inifile.Parse(name, text)
	sc := &Scenario{Name: name, Seed: 1, Duration: 10 * time.Second}
	for _, s := range f.Sections {
		r := f.NewReader(s)
		switch s.Kind {
		case "Scenario":
			sc.Seed = uint64(r.Int("Seed", 1, 0, 1<<30))
			sc.Duration = r.Duration("Duration", 10*time.Second, time.Millisecond)
		case "Load":
			sc.Loads = append(sc.Loads, readLoad(r, s.Name))
		default:
			r.AddFinding("", "unknown section; expected [Scenario] or [Load CLASS]")
			continue
		}
		r.Finish()
	}
	if len(f.Findings) > 0 {
		return nil, f.Findings
	}
	return sc, nil
}

// readLoad returns the load of a section [Load CLASS].
func readLoad(r *inifile.Reader, class string) ClassLoad {
	return ClassLoad{
		Class:        class,
		Key:          r.Required("Key", "the organisation's bearer key"),
		Model:        r.Text("Model", ""),
		Service:      r.Text("Service", ""),
		Rate:         r.Float("Rate", 1, 0.001, 100000),
		Burst:        r.Float("Burst", 1, 0, 1000),
		BurstFrom:    r.Duration("BurstFrom", 0, 0),
		BurstTo:      r.Duration("BurstTo", 0, 0),
		Tokens:       r.Int("Tokens", 20, 1, 100000),
		PromptBytes:  r.Int("Prompt", 400, 1, 1<<20),
		Streamed:     r.Bool("Stream", true),
		FirstToken:   r.Duration("FirstToken", 0, 0),
		BetweenToken: r.Duration("BetweenToken", 0, 0),
		Whole:        r.Duration("Whole", 0, 0),
	}
}
