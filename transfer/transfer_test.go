package transfer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"knapweedwell/peer"
)

// common are lines that take many parts.
var common = func() []byte {
	var b []byte
	for i := range 3000 {
		b = fmt.Appendf(b, "%x\n", sha256.Sum256(fmt.Append(nil, i)))
	}
	return b
}()

// large returns data that take many parts. Two variants have most bytes in common.
func large(variant int) []byte {
	return fmt.Appendf(bytes.Clone(common), "variant %d\n", variant)
}

// fleet holds services that call each other without a network.
type fleet struct {
	services map[string]*Service

	mu     sync.Mutex
	calls  map[string]int       // by the address of the called instance
	sent   map[string]int       // bytes of parts by the address of the sender
	rate   float64              // bytes a second of the link of each instance; zero if it is not limited
	sentAt map[string]time.Time // end of the transmissions of an instance
	// fault changes the answers of an instance, or fails calls; may be nil.
	fault func(address, method string, r *reply) error
}

func newFleet() *fleet {
	return &fleet{services: map[string]*Service{}, calls: map[string]int{}, sent: map[string]int{}, sentAt: map[string]time.Time{}}
}

// add adds an instance. Values that begin with an exclamation mark are not valid.
func (f *fleet) add(address string) *Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Service{Name: "Test", Peers: &peer.Node{Address: address}, Log: log, Call: f.call}
	s.Apply = func(v Value, _ string) bool {
		if len(v.Data) == 0 || v.Data[0] == '!' {
			return false
		}
		s.Set(v)
		return true
	}
	s.Prepare()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[address] = s
	return s
}

func (f *fleet) call(ctx context.Context, address, method string, params, result any) error {
	time.Sleep(time.Millisecond)
	wait, err := f.answer(ctx, address, method, params, result)
	time.Sleep(wait)
	return err
}

// answer answers a call and returns the time that the answer takes over the links.
func (f *fleet) answer(ctx context.Context, address, method string, params, result any) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[address]++
	data, err := json.Marshal(params)
	if err != nil {
		return 0, err
	}
	answer, err := f.services[address].serve(ctx, "", data)
	if err != nil {
		return 0, err
	}
	r := answer.(reply)
	if f.fault != nil {
		if err := f.fault(address, method, &r); err != nil {
			return 0, err
		}
	}
	f.sent[address] += len(r.Part)
	data, err = json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return f.transmit(address, len(data)), json.Unmarshal(data, result)
}

// transmit returns the time until bytes have passed the link of an instance, after those
// before them. The caller holds f.mu.
func (f *fleet) transmit(address string, size int) time.Duration {
	if f.rate == 0 {
		return 0
	}
	now := time.Now()
	start := f.sentAt[address]
	if start.Before(now) {
		start = now
	}
	f.sentAt[address] = start.Add(time.Duration(float64(size) / f.rate * float64(time.Second)))
	return f.sentAt[address].Sub(now)
}

func (f *fleet) callsOf(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[address]
}

func (f *fleet) close() {
	for _, s := range f.services {
		_ = s.Close()
	}
}

func value(version int64, data []byte) Value {
	return Value{Version: version, Revision: 10 * version, Data: data, Since: time.Now()}
}

func expectValue(t *testing.T, s *Service, want Value) {
	t.Helper()
	got := s.Current()
	assert.Equal(t, got.Version, want.Version)
	assert.Equal(t, got.Revision, want.Revision)
	assert.Assert(t, bytes.Equal(got.Data, want.Data))
}

// TestFetch checks that a reader gets each version whole, and only the difference if the
// sender has the reader's version.
func TestFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.close()
		a, b := f.add("a"), f.add("b")
		first := value(1, large(1))
		time.Sleep(3 * time.Second)
		a.Set(first)
		b.Hint("a", 1, false)
		time.Sleep(time.Second)
		expectValue(t, b, first)
		age := b.Current().Since.Sub(first.Since)
		assert.Assert(t, age >= 0 && age < 100*time.Millisecond, "the first instance had it %s later", age)
		whole := f.sent["a"]
		second := value(2, large(2))
		a.Set(second)
		b.Hint("a", 2, false)
		time.Sleep(time.Second)
		expectValue(t, b, second)
		assert.Assert(t, f.sent["a"]-whole < 1000, "the difference has %d bytes", f.sent["a"]-whole)
		assert.Assert(t, whole > 5*partBytes)
	})
}

// TestResume guards against bytes that are asked for again although they were received:
// the first instance breaks off after three parts, and a second one has the rest.
func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.close()
		a, b, c := f.add("a"), f.add("b"), f.add("c")
		v := value(1, large(1))
		a.Set(v)
		b.Set(v)
		f.fault = func(address, _ string, _ *reply) error {
			if address == "a" && f.calls["a"] > 3 {
				return errors.New("broken off")
			}
			return nil
		}
		c.Hint("a", 1, false)
		time.Sleep(10 * time.Millisecond)
		c.Hint("b", 1, false)
		time.Sleep(2 * time.Second)
		expectValue(t, c, v)
		encoded, err := encode(v.Data, nil)
		assert.NilError(t, err)
		assert.Equal(t, f.sent["a"]+f.sent["b"], len(encoded))
		assert.Assert(t, f.sent["a"] == 3*partBytes)
	})
}

// TestNewerVersionWhileReading checks that a reader finishes what it began, and reads the
// newer version after that.
func TestNewerVersionWhileReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.close()
		a, b := f.add("a"), f.add("b")
		a.Set(value(1, large(1)))
		f.fault = func(string, string, *reply) error {
			if f.calls["a"] == 3 {
				a.Set(value(2, large(2)))
				b.Hint("a", 2, false)
			}
			return nil
		}
		b.Hint("a", 1, false)
		time.Sleep(time.Second)
		expectValue(t, b, a.Current())
		assert.Equal(t, b.Current().Version, int64(2))
		assert.Equal(t, b.Counts().Fetched, int64(2))
	})
}

// TestManyReaders checks that an instance sends a large value to few readers and that the
// others get it from these.
func TestManyReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.close()
		a := f.add("a")
		v := value(1, large(1))
		a.Set(v)
		for i := range 60 {
			f.add(fmt.Sprint("reader-", i)).Hint("a", 1, false)
		}
		time.Sleep(4 * time.Second)
		for _, s := range f.services {
			expectValue(t, s, v)
		}
		encoded, err := encode(v.Data, nil)
		assert.NilError(t, err)
		assert.Assert(t, f.sent["a"] < 40*len(encoded), "the first instance sent it %d times", f.sent["a"]/len(encoded))
	})
}

// TestThinLinks checks the time to the last instance at 10 Mbit/s, in fleets up to the size to
// design for, with a value about three times as large as a table of 1,400 routes, and for the
// next version.
func TestThinLinks(t *testing.T) {
	const inTime = 4 * time.Second // in which a change must be in force
	for _, n := range []int{76, 300, 680} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				defer f.close()
				f.rate = 10e6 / 8
				a := f.add("a")
				for i := range n - 1 {
					f.add(fmt.Sprint("reader-", i))
				}
				for version := range int64(2) {
					a.Set(value(version+1, large(int(version))))
					for _, s := range f.services {
						s.Hint("a", version+1, false)
					}
					time.Sleep(inTime)
					late := 0
					for _, s := range f.services {
						if s.Current().Version != version+1 {
							late++
						}
					}
					assert.Equal(t, late, 0, "instances without version %d", version+1)
				}
			})
		})
	}
}

// TestBadPeers checks that an instance that sends what is not valid costs only its own
// answers.
func TestBadPeers(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *reply)
	}{
		{"other bytes", func(r *reply) { r.Part = bytes.Repeat([]byte{7}, len(r.Part)) }},
		{"another value", func(r *reply) { r.Value++ }},
		{"another base", func(r *reply) { r.Base = 5 }},
		{"too large", func(r *reply) { r.Size = 1 << 40 }},
		{"negative size", func(r *reply) { r.Size = -1 }},
		{"negative offset", func(r *reply) { r.Offset = -1 }},
		{"part behind the end", func(r *reply) { r.Size = 1 }},
		{"no part", func(r *reply) { r.Part = nil }},
		{"always busy", func(r *reply) { r.Busy, r.Part = true, nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				defer f.close()
				bad, good, reader := f.add("bad"), f.add("good"), f.add("reader")
				bad.Set(value(1<<60, large(1)))
				good.Set(value(2, large(2)))
				f.fault = func(address, _ string, r *reply) error {
					if address == "bad" {
						c.fault(r)
					}
					return nil
				}
				reader.Hint("bad", 1<<60, false)
				time.Sleep(time.Second)
				calls := f.callsOf("bad")
				for range 20 {
					reader.Hint("bad", 1<<60, false)
					reader.Hint("good", 2, false)
					time.Sleep(200 * time.Millisecond)
				}
				expectValue(t, reader, good.Current())
				assert.Assert(t, f.callsOf("bad")-calls <= 100, "%d calls of the bad instance", f.callsOf("bad")-calls)
			})
		})
	}
}

// TestInvalidValue guards against a value that is not valid and is read again and again.
func TestInvalidValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.close()
		a, b := f.add("a"), f.add("b")
		a.Set(value(3, []byte("!")))
		for range 10 {
			b.Hint("a", 3, false)
			time.Sleep(200 * time.Millisecond)
		}
		assert.Equal(t, f.callsOf("a"), 1)
		a.Set(value(4, []byte("valid")))
		b.Hint("a", 4, false)
		time.Sleep(time.Second)
		expectValue(t, b, a.Current())
	})
}

// TestEarlierBuild checks that the value is read whole from an instance that does not know
// parts.
func TestEarlierBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.close()
		f.add("old")
		b := f.add("b")
		f.fault = func(string, string, *reply) error {
			return errors.Wrap(&jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}, "call")
		}
		whole := 0
		b.FetchWhole = func(context.Context, string) (Value, error) {
			whole++
			return value(1, large(1)), nil
		}
		b.Apply = func(v Value, _ string) bool {
			v.Version = 1
			b.Set(v)
			return true
		}
		// The version in the report is not the one that the instance has.
		b.Hint("old", 2, false)
		time.Sleep(time.Second)
		expectValue(t, b, value(1, large(1)))
		assert.Equal(t, whole, 1)
	})
}

// TestKeptVersions checks that old versions are dropped.
func TestKeptVersions(t *testing.T) {
	var o offer
	for i := range 100 {
		assert.Assert(t, o.set(value(int64(i+1), large(i))))
		assert.Assert(t, !o.set(value(int64(i), large(i))))
		bytes := 0
		for _, v := range o.kept[:len(o.kept)-1] {
			bytes += len(v.Data)
		}
		assert.Assert(t, bytes <= maxKeptBytes && len(o.kept) <= maxKeptVersions)
	}
}

// FuzzReply checks that what a peer sends ends no process and gives no value that the peer
// has not stated.
func FuzzReply(f *testing.F) {
	encoded, err := encode([]byte("some value"), nil)
	assert.NilError(f, err)
	seed, err := json.Marshal(reply{Version: 1, Value: digestOf([]byte("some value")), Read: digestOf(encoded), Size: len(encoded), Part: encoded})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte(`{"Busy":true,"Ask":["a","b"],"Version":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var rep reply
		if json.Unmarshal(data, &rep) != nil {
			return
		}
		r := reading{have: value(1, []byte("base"))}
		if r.add(rep) != nil || !r.complete() {
			return
		}
		v, err := r.value()
		if err == nil && digestOf(v.Data) != rep.Value {
			t.Errorf("value with digest %x, expected %x", digestOf(v.Data), rep.Value)
		}
	})
}
