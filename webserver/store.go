package webserver

import "sync"

// Sizes of the blocks for heads that come in parts. Blocks are used again, so that heads that
// are dropped leave no garbage.
const (
	minBlockBytes = 4 << 10
	blockSizes    = 5 // each twice the one before
)

var blocks [blockSizes]sync.Pool // of *[]byte

// blockSize returns the index and the size of the least block for n bytes. The index is
// blockSizes if there is none; the size is n then.
func blockSize(n int) (int, int) {
	size := minBlockBytes
	for i := range blockSizes {
		if n <= size {
			return i, size
		}
		size *= 2
	}
	return blockSizes, n
}

// newBlock returns an empty slice with a capacity of n bytes at least.
func newBlock(n int) []byte {
	i, size := blockSize(n)
	if i < blockSizes {
		if b, ok := blocks[i].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// freeBlock lets a slice of newBlock be used again.
func freeBlock(b []byte) {
	if i, size := blockSize(cap(b)); i < blockSizes && size == cap(b) {
		blocks[i].Put(&b)
	}
}
