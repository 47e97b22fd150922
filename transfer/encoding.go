package transfer

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	maxValueBytes = 4 << 20
	maxWindow     = 2 * maxValueBytes // a difference reaches back over the whole base
	baseID        = 1                 // of the base in a difference
)

// Digest identifies the bytes of a value or of an encoding. Zero stands for none.
type Digest uint64

func digestOf(data []byte) Digest {
	if data == nil {
		return 0
	}
	return Digest(xxhash.Sum64(data))
}

// window returns the least power of two that holds n bytes, at least the minimum of the
// format.
func window(n int) int {
	return min(max(1<<bits.Len(uint(n)), zstd.MinWindowSize), maxWindow)
}

// encode compresses data, as the difference to base unless that is nil.
func encode(data, base []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window(len(data) + len(base))),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(baseID, base))
	}
	e, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "prepare compression")
	}
	defer e.Close()
	return e.EncodeAll(data, nil), nil
}

// decode reverses encode. It refuses a value of more than maxValueBytes.
func decode(encoded, base []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes),
		zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(baseID, base))
	}
	d, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "prepare decompression")
	}
	defer d.Close()
	data, err := d.DecodeAll(encoded, nil)
	return data, errors.Wrap(err, "decompress value")
}
