package transfer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
)

// partTimeout bounds the call for one part.
const partTimeout = 1500 * time.Millisecond

// reading is an encoding of which some parts are missing.
type reading struct {
	have  Value // to which the encoding may be a difference
	last  reply // the part that was received last
	data  []byte
	whole bool // whether it is the answer of an instance of an earlier build
	began time.Time
	calls int
}

// fetch reads versions until no instance is known to have a newer one.
func (s *Service) fetch(ctx context.Context) {
	var r reading
	current := ""
	for ctx.Err() == nil {
		s.mu.Lock()
		address, wait, ok := s.sources.next(time.Now(), current, s.version.Load())
		if !ok {
			s.fetching = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if address == "" {
			sleep(ctx, wait)
			continue
		}
		current = address
		s.readPart(ctx, &r, address)
	}
}

// readPart reads the next part from an instance, and applies the value if that was the last
// one.
func (s *Service) readPart(ctx context.Context, r *reading, address string) {
	if r.began.IsZero() {
		*r = reading{have: s.Current(), began: time.Now()}
	}
	rep, err := s.call(ctx, r, address)
	if err == nil {
		err = r.add(rep)
	}
	s.recordReply(address, rep, err)
	switch {
	case err != nil && ctx.Err() == nil:
		s.recordFailure(r, address, err)
	case err == nil && !rep.Busy && len(rep.Part) > 0 && r.complete():
		s.finish(r, address)
	}
}

// recordReply records what an instance has answered, so that it or another one is asked next.
func (s *Service) recordReply(address string, rep reply, err error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.sources.failed(now, address)
	case rep.Busy:
		s.sources.postpone(now, address)
		for _, other := range rep.Ask {
			if other != s.Peers.Address {
				s.sources.add(other, rep.Version)
			}
		}
	case len(rep.Part) == 0:
		// It has nothing that this instance lacks.
		delete(s.sources.known, address)
	default:
		s.sources.succeeded(address)
	}
}

// call asks an instance for the next part.
func (s *Service) call(ctx context.Context, r *reading, address string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	r.calls++
	req := request{Reader: s.Peers.Address, Have: r.have.digest, Read: r.last.Read, Offset: len(r.data)}
	var rep reply
	err := s.Call(ctx, address, s.method(), req, &rep)
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) && rpcErr.Code == jsonrpc2.CodeMethodNotFound {
		r.whole = true
		return s.callWhole(ctx, address)
	}
	s.received.Add(int64(len(rep.Part)))
	return rep, err
}

// callWhole reads the whole value from an instance of an earlier build.
func (s *Service) callWhole(ctx context.Context, address string) (reply, error) {
	v, err := s.FetchWhole(ctx, address)
	if err != nil || len(v.Data) == 0 {
		return reply{}, err
	}
	data, err := encode(v.Data, nil)
	if err != nil {
		return reply{}, err
	}
	// Its version is not known before it is decoded.
	return reply{
		Revision: v.Revision, Value: digestOf(v.Data), Read: digestOf(data), Size: len(data), Part: data,
	}, nil
}

// add adds a part. A part of another encoding replaces what was read before.
func (r *reading) add(rep reply) error {
	if rep.Busy || len(rep.Part) == 0 {
		return nil
	}
	switch {
	case rep.Size <= 0 || rep.Size > maxValueBytes:
		return errors.Errorf("encoding has %d bytes, expected at most %d", rep.Size, maxValueBytes)
	case rep.Base != 0 && rep.Base != r.have.digest:
		return errors.New("the difference starts from another version than the one asked for")
	case rep.Read != r.last.Read && rep.Offset == 0:
		r.data = nil
	case rep.Read != r.last.Read || rep.Offset != len(r.data):
		return errors.Errorf("part starts at %d, expected %d", rep.Offset, len(r.data))
	}
	if len(r.data)+len(rep.Part) > rep.Size {
		return errors.Errorf("parts have more than the %d bytes of the encoding", rep.Size)
	}
	r.data = append(r.data, rep.Part...)
	r.last = rep
	return nil
}

// complete reports whether all parts have been added.
func (r *reading) complete() bool {
	return len(r.data) > 0 && len(r.data) == r.last.Size
}

// value returns the value of the complete encoding.
func (r *reading) value() (Value, error) {
	if digestOf(r.data) != r.last.Read {
		return Value{}, errors.New("the encoding has other bytes than stated")
	}
	var base []byte
	if r.last.Base != 0 {
		base = r.have.Data
	}
	data, err := decode(r.data, base)
	if err != nil {
		return Value{}, err
	}
	if digestOf(data) != r.last.Value {
		return Value{}, errors.New("the value has other bytes than stated")
	}
	since := time.Now().Add(-time.Duration(r.last.AgeMillis) * time.Millisecond)
	return Value{Version: r.last.Version, Revision: r.last.Revision, Data: data, Since: since}, nil
}

// finish applies a complete value and ends the reading.
func (s *Service) finish(r *reading, address string) {
	done := *r
	*r = reading{}
	v, err := done.value()
	if err == nil && !s.Apply(v, address) {
		err = errors.New("the value is not valid")
	}
	if err != nil {
		s.mu.Lock()
		s.sources.refuse(address, done.last.Version)
		s.mu.Unlock()
		s.recordFailure(&done, address, err)
		return
	}
	if done.whole {
		// It may have reported a higher version than it has.
		s.mu.Lock()
		delete(s.sources.known, address)
		s.mu.Unlock()
	}
	s.whole.Add(1)
	s.Log.WithFields(done.fields(address)).Info(s.Fetched)
}

// recordFailure counts and logs a failed part.
func (s *Service) recordFailure(r *reading, address string, err error) {
	s.failed.Add(1)
	s.Log.WithFields(r.fields(address)).WithField("Error", err.Error()).Warn(s.NotFetched)
}

// fields returns the fields of a log line about the reading.
func (r *reading) fields(address string) logrus.Fields {
	return logrus.Fields{
		"Peer": address, "Version": r.last.Version, "Bytes": len(r.data), "Size": r.last.Size, "Difference": r.last.Base != 0,
		"Calls": r.calls, "Millis": time.Since(r.began).Milliseconds(),
	}
}
