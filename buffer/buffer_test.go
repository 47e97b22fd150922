package buffer

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestFill reads bodies of known and unknown sizes.
func TestFill(t *testing.T) {
	const limit = 100_000
	broken := errors.New("broken")
	for _, c := range []struct {
		name   string
		memory int64
		size   int64
		r      io.Reader
		read   int
		err    error
	}{
		{"empty", 0, -1, strings.NewReader(""), 0, nil},
		{"size not known", 0, -1, strings.NewReader(strings.Repeat("a", 70_000)), 70_000, nil},
		{"size known", 0, 70_000, strings.NewReader(strings.Repeat("a", 70_000)), 70_000, nil},
		{"as large as the limit", 0, -1, strings.NewReader(strings.Repeat("a", limit)), limit, nil},
		{"byte by byte", 0, -1, iotest.OneByteReader(strings.NewReader(strings.Repeat("a", 3000))), 3000, nil},
		{"too large", 0, -1, strings.NewReader(strings.Repeat("a", 2*limit)), limit + 1, io.ErrShortBuffer},
		{"size too large", 0, 1 << 60, strings.NewReader(strings.Repeat("a", 2*limit)), limit + 1, io.ErrShortBuffer},
		{"larger than its size", 0, 10, strings.NewReader(strings.Repeat("a", 2*limit)), limit + 1, io.ErrShortBuffer},
		{"breaks off", 0, -1, io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 3, broken},
		{"short while spent", 1, -1, strings.NewReader(strings.Repeat("a", FreeBytes-1)), FreeBytes - 1, nil},
		{"spent, size known", 1000, 70_000, strings.NewReader(strings.Repeat("a", 70_000)), 0, ErrSpent},
		{"spent, size not known", 30_000, -1, strings.NewReader(strings.Repeat("a", 70_000)), 2 * FreeBytes, ErrSpent},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &Memory{Limit: c.memory}
			b := &Buffer{Memory: m}
			err := b.Fill(c.r, c.size, limit)
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			assert.Equal(t, len(b.Bytes()), c.read)
			assert.Assert(t, c.memory == 0 || m.Used() <= c.memory, "%d bytes reserved", m.Used())
			assert.Equal(t, m.Refused(), map[bool]int64{true: 1}[errors.Is(c.err, ErrSpent)])
			b.Free()
			b.Free()
			assert.Equal(t, m.Used(), int64(0))
		})
	}
}

// TestMemoryIsShared fills many buffers at once: together they never hold more than the limit.
func TestMemoryIsShared(t *testing.T) {
	const limit = 1 << 20
	m := &Memory{Limit: limit}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			b := &Buffer{Memory: m}
			defer b.Free()
			err := b.Fill(strings.NewReader(strings.Repeat("a", 200_000)), -1, limit)
			assert.Check(t, err == nil || errors.Is(err, ErrSpent), "%v", err)
			assert.Check(t, int64(cap(b.data)) <= b.reserved+FreeBytes, "capacity %d, reserved %d", cap(b.data), b.reserved)
		})
	}
	wg.Wait()
	assert.Equal(t, m.Used(), int64(0))
}

// TestAppend appends and discards parts until the memory is spent.
func TestAppend(t *testing.T) {
	m := &Memory{Limit: 4 * FreeBytes}
	b := &Buffer{Memory: m}
	assert.NilError(t, b.Append([]byte("first second")))
	b.Discard(len("first "))
	assert.NilError(t, b.Append([]byte(" third")))
	assert.Equal(t, string(b.Bytes()), "second third")
	part := make([]byte, FreeBytes/2)
	for range 8 {
		assert.NilError(t, b.Append(part))
	}
	before := len(b.Bytes())
	assert.ErrorIs(t, b.Append(part), ErrSpent)
	assert.Equal(t, len(b.Bytes()), before)
	b.Discard(before)
	assert.Equal(t, len(b.Bytes()), 0)
	assert.NilError(t, b.Append(part), "the capacity stays")
	b.Free()
	assert.Equal(t, m.Used(), int64(0))
}
