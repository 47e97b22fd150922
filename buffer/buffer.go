package buffer

import (
	"errors"
	"io"
)

// FreeBytes is the size up to which a buffer takes nothing of its Memory, so that short bodies
// are read even when it is spent.
const FreeBytes = 16 << 10

// ErrSpent means that the Memory of a buffer has too few bytes left.
var ErrSpent = errors.New("the memory for bodies is spent")

// Buffer holds a body, or its start. Memory is set before the first use. A Buffer is used by
// one goroutine at a time.
type Buffer struct {
	Memory *Memory

	data     []byte
	reserved int64
}

// Bytes returns what was read. It is valid until Free.
func (b *Buffer) Bytes() []byte {
	return b.data
}

// Reserve takes bytes of the Memory, until Free, for what is kept elsewhere. It returns ErrSpent,
// and takes none, if too few are left.
func (b *Buffer) Reserve(n int64) error {
	if !b.Memory.reserve(n) {
		return ErrSpent
	}
	b.reserved += n
	return nil
}

// Free drops what was read and returns its bytes to the Memory.
func (b *Buffer) Free() {
	b.Memory.release(b.reserved)
	b.data, b.reserved = nil, 0
}

// Fill reads r to its end. It returns io.ErrShortBuffer if more than limit bytes came, ErrSpent
// if the Memory is spent, and otherwise the error of r. What was read before is in Bytes; after
// io.ErrShortBuffer that is one byte over the limit. The size is the expected number of bytes,
// negative if it is not known.
func (b *Buffer) Fill(r io.Reader, size, limit int64) error {
	most := limit + 1
	if size >= 0 && size <= limit {
		// One byte more, in which the end of r is found. Of a large body, the rest of the
		// capacity is taken as its bytes come: it may be announced and never sent.
		most = size + 1
		if !b.Memory.fits(most - FreeBytes) {
			return ErrSpent
		}
		if err := b.grow(min(most, announcedBytes)); err != nil {
			return err
		}
	}
	for {
		if int64(len(b.data)) > limit {
			return io.ErrShortBuffer
		}
		if len(b.data) == cap(b.data) {
			if int64(cap(b.data)) >= most {
				most = limit + 1
			}
			if err := b.grow(min(max(2*int64(cap(b.data)), minBytes), most)); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// Append appends data. It returns ErrSpent, and appends nothing, if the Memory is spent.
func (b *Buffer) Append(data []byte) error {
	if need := len(b.data) + len(data); need > cap(b.data) {
		if err := b.grow(int64(max(2*cap(b.data), need, minBytes))); err != nil {
			return err
		}
	}
	b.data = append(b.data, data...)
	return nil
}

// Discard drops the first n bytes.
func (b *Buffer) Discard(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
}

const (
	minBytes       = 512      // capacity of a buffer for a body whose length is not known
	announcedBytes = 16 << 10 // most that is taken for a body before any of it has come
)

// grow gives the buffer a capacity.
func (b *Buffer) grow(size int64) error {
	if more := size - FreeBytes - b.reserved; more > 0 {
		if !b.Memory.reserve(more) {
			return ErrSpent
		}
		b.reserved += more
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return nil
}
