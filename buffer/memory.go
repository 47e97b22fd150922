package buffer

import "sync/atomic"

// Memory is the memory that the buffers of a process may take together. Limit is set before
// the first use. Its methods may be called concurrently.
type Memory struct {
	Limit int64 // bytes; zero means no limit
	// Whole is the memory of which this is a part: what is taken of the part is taken of the whole,
	// too. It may be nil.
	Whole *Memory

	used    atomic.Int64
	refused atomic.Int64
}

// reserve takes bytes and reports whether there were as many left.
func (m *Memory) reserve(n int64) bool {
	if used := m.used.Add(n); m.Limit <= 0 || used <= m.Limit {
		if m.Whole == nil || m.Whole.reserve(n) {
			return true
		}
	}
	m.used.Add(-n)
	m.refused.Add(1)
	return false
}

// fits reports whether as many bytes are left. It takes none.
func (m *Memory) fits(n int64) bool {
	if m.Limit <= 0 || n <= 0 || m.used.Load()+n <= m.Limit {
		return true
	}
	m.refused.Add(1)
	return false
}

// release returns bytes that were reserved.
func (m *Memory) release(n int64) {
	m.used.Add(-n)
	if m.Whole != nil {
		m.Whole.release(n)
	}
}

// Used returns the number of bytes that are reserved.
func (m *Memory) Used() int64 {
	return m.used.Load()
}

// Refused returns how often a buffer did not get the bytes that it needed.
func (m *Memory) Refused() int64 {
	return m.refused.Load()
}
