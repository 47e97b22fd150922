package exchange

import (
	"testing"

	"gotest.tools/v3/assert"

	"knapweedwell/member"
)

// TestOlderHalf checks that the members that started first are returned.
func TestOlderHalf(t *testing.T) {
	for _, c := range []struct {
		started []int64
		want    []int64
	}{{[]int64{9}, []int64{9}}, {[]int64{9, 2}, []int64{2}}, {[]int64{7, 3, 9}, []int64{3, 7}}, {[]int64{4, 8, 1, 6}, []int64{1, 4}}} {
		var all []member.Member
		for _, at := range c.started {
			all = append(all, member.Member{Incarnation: at})
		}
		var got []int64
		for _, m := range olderHalf(all) {
			got = append(got, m.Incarnation)
		}
		assert.DeepEqual(t, got, c.want)
	}
}
