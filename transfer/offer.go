package transfer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	partBytes = 16 << 10
	// maxReaders is the number of readers that get parts of large encodings at a time.
	maxReaders = 2
	// readerTimeout is the time after its last part after which a reader has given up.
	readerTimeout    = 600 * time.Millisecond
	maxKeptBytes     = 4 << 20 // older versions that differences may start from
	maxKeptVersions  = 16
	maxEncodings     = 8
	maxNamedReaders  = 3 // readers named to one that has to wait
	maxServedReaders = 64

	noVersion = -1 // is below all versions
)

// Value is one version of what is passed on. It is not changed once it is set.
type Value struct {
	Version  int64 // a higher one is newer
	Revision int64 // of the store's object
	Data     []byte
	// Since is about when the first instance had the version.
	Since time.Time

	digest Digest
}

// request asks for one part of the newest version, or of the one that is being read.
type request struct {
	Reader string // peer address of the asking instance
	Have   Digest // of the value that the reader has
	Read   Digest // of the encoding that is being read; zero for a new one
	Offset int    // of the part in it
}

// reply is one part of an encoding.
type reply struct {
	Version   int64
	Revision  int64
	AgeMillis int64
	Base      Digest // of the value to which the encoding is a difference; zero if it is whole
	Value     Digest // of the decoded value
	Read      Digest // of the encoding
	Size      int    // of the encoding in bytes
	Offset    int
	Part      []byte
	// Busy is set if there is no part because others are reading; Ask are peer addresses
	// of instances that have the version.
	Busy bool
	Ask  []string
}

// encoding is a value as it is sent.
type encoding struct {
	value  Value
	base   Digest
	digest Digest
	data   []byte
}

// offer is what an instance passes on. Its state depends on nothing but the calls of its
// methods.
type offer struct {
	kept      []Value // the newest last
	encodings []encoding
	readers   map[string]time.Time // when a reader got its last part, by its address
	served    []string             // readers that have got the newest version
}

// current returns the newest value.
func (o *offer) current() Value {
	if len(o.kept) == 0 {
		return Value{}
	}
	return o.kept[len(o.kept)-1]
}

// set adds a newer version and drops the oldest ones beyond the limits. It reports whether
// the version is newer.
func (o *offer) set(v Value) bool {
	if len(o.kept) > 0 && v.Version <= o.current().Version {
		return false
	}
	v.digest = digestOf(v.Data)
	o.kept = append(o.kept, v)
	o.served = nil
	size := 0
	for i := len(o.kept) - 2; i >= 0; i-- {
		size += len(o.kept[i].Data)
		if size > maxKeptBytes || len(o.kept)-i > maxKeptVersions {
			o.kept = slices.Clone(o.kept[i+1:])
			break
		}
	}
	return true
}

// answer returns the part that a reader asks for.
func (o *offer) answer(now time.Time, req request) (reply, error) {
	v := o.current()
	if v.Data == nil || (req.Read == 0 && req.Have == v.digest) {
		return reply{Version: v.Version, Revision: v.Revision, Value: v.digest}, nil
	}
	e, err := o.encodingFor(req)
	if err != nil {
		return reply{}, err
	}
	offset := req.Offset
	if e.digest != req.Read || offset < 0 || offset > len(e.data) {
		offset = 0
	}
	r := reply{
		Version: e.value.Version, Revision: e.value.Revision, AgeMillis: now.Sub(e.value.Since).Milliseconds(), Base: e.base,
		Value: e.value.digest, Read: e.digest, Size: len(e.data), Offset: offset,
	}
	if len(e.data) > partBytes && !o.admit(now, req.Reader) {
		r.Busy = true
		r.Ask = o.someServed()
		return r, nil
	}
	end := min(offset+partBytes, len(e.data))
	r.Part = e.data[offset:end]
	if end == len(e.data) {
		o.recordServed(req.Reader, e.value)
	}
	return r, nil
}

// someServed returns some of the readers that have got the newest version.
func (o *offer) someServed() []string {
	some := slices.Clone(o.served)
	rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(len(some), maxNamedReaders)]
}

// admit reports whether a reader may get a part of a large encoding now.
func (o *offer) admit(now time.Time, reader string) bool {
	if o.readers == nil {
		o.readers = map[string]time.Time{}
	}
	for name, at := range o.readers {
		if now.Sub(at) > readerTimeout {
			delete(o.readers, name)
		}
	}
	if _, ok := o.readers[reader]; !ok && len(o.readers) >= maxReaders {
		return false
	}
	o.readers[reader] = now
	return true
}

// recordServed records that a reader has got the last part of a value.
func (o *offer) recordServed(reader string, v Value) {
	delete(o.readers, reader)
	if v.Version == o.current().Version && len(o.served) < maxServedReaders && !slices.Contains(o.served, reader) {
		o.served = append(o.served, reader)
	}
}

// encodingFor returns the encoding that is being read, or one of the newest value.
func (o *offer) encodingFor(req request) (encoding, error) {
	v := o.current()
	base := o.keptValue(req.Have)
	for _, e := range o.encodings {
		if (req.Read != 0 && e.digest == req.Read) || (req.Read == 0 && e.value.digest == v.digest && e.base == base.digest) {
			return e, nil
		}
	}
	if req.Read != 0 {
		// The encoding that was being read is dropped, or is that of another instance.
		return o.encodingFor(request{Reader: req.Reader, Have: req.Have})
	}
	data, err := encode(v.Data, base.Data)
	if err != nil {
		return encoding{}, err
	}
	e := encoding{value: v, base: base.digest, digest: digestOf(data), data: data}
	o.encodings = append(o.encodings, e)
	if len(o.encodings) > maxEncodings {
		o.encodings = slices.Clone(o.encodings[1:])
	}
	return e, nil
}

// keptValue returns the version with the digest, the zero Value if it is not kept.
func (o *offer) keptValue(d Digest) Value {
	for _, v := range o.kept {
		if d != 0 && v.digest == d {
			return v
		}
	}
	return Value{}
}
