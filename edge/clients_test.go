package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/setting"
)

// TestClientLimits guards against limits that ordinary callers reach, or that together take
// more descriptors than there are. The smallest machine must hold 2,000 callers.
func TestClientLimits(t *testing.T) {
	const ports = 3 // besides those for callers and peers
	for _, r := range []setting.Routes{
		{MemoryMegabytes: 184, MaxDescriptors: 4100},
		{MemoryMegabytes: 536, MaxDescriptors: 10250},
		{MaxDescriptors: 8192},
		{MemoryMegabytes: 384},
	} {
		l := newClientLimits(&r)
		assert.Assert(t, l.Callers >= 2000 && l.Peers >= 680, "%+v: %+v", r, l)
		if r.MaxDescriptors > 0 {
			all := l.Callers + l.Peers + ports*l.Others + l.Upstreams
			assert.Assert(t, all < r.MaxDescriptors-spareDescriptors, "%+v: %+v", r, l)
		}
	}
	assert.Equal(t, newClientLimits(&setting.Routes{}), clientLimits{}, "limits without settings")
	assert.Equal(t, newClientLimits(&setting.Routes{MaxDescriptors: 10}).Callers, 1)
}
