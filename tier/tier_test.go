package tier

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(0, 0)

func item(n int, class, org string, rank int) *Item {
	at := start.Add(time.Duration(n) * time.Millisecond)
	return &Item{
		ID: fmt.Sprintf("%06d", n), Class: class, Organisation: org, Rank: rank, Cost: 1,
		Arrived: at, Due: at.Add(time.Hour), Expires: at.Add(2 * time.Hour),
	}
}

func dispatch(q *Queue, now time.Time) *Item {
	it, _ := q.Next(now)
	q.Dispatch(it)
	return it
}

// TestFairness keeps two classes and two organisations waiting and checks that
// dispatches follow their weights.
func TestFairness(t *testing.T) {
	q := NewQueue()
	q.Configure([]Class{{Name: "x", Rank: 1, Weight: 1, Floor: 0.001}, {Name: "y", Rank: 1, Weight: 3, Floor: 0.001}}, map[string]float64{"A": 1, "B": 4})
	n := 0
	for _, class := range []string{"x", "y"} {
		for _, org := range []string{"A", "B"} {
			for range 2000 {
				n++
				q.Push(item(n, class, org, 1))
			}
		}
	}
	got := map[string]int{}
	for range 2000 {
		it := dispatch(q, start)
		got[it.Class+it.Organisation]++
	}
	assert.DeepEqual(t, got, map[string]int{"xA": 100, "xB": 400, "yA": 300, "yB": 1200})
}

// TestLate checks that late requests are dispatched, but after those on time.
func TestLate(t *testing.T) {
	q := NewQueue()
	q.Configure([]Class{{Name: "x", Rank: 1, Weight: 1, Floor: 0.001}}, nil)
	late, fresh := item(1, "x", "A", 1), item(2, "x", "A", 1)
	late.Due = start.Add(time.Second)
	q.Push(late)
	q.Push(fresh)
	now := start.Add(2 * time.Second)
	assert.Equal(t, dispatch(q, now), fresh)
	assert.Equal(t, dispatch(q, now), late)
	assert.Equal(t, q.Len(), 0)
}

// TestVictim checks that the newest item is shed first, of the class and
// organisation with the most waiting items for their weight in the lowest tier.
func TestVictim(t *testing.T) {
	q := NewQueue()
	q.Configure([]Class{{Name: "x", Rank: 1, Weight: 1}, {Name: "y", Rank: 2, Weight: 1}, {Name: "z", Rank: 2, Weight: 1}}, map[string]float64{"A": 1, "B": 4})
	for n := range 10 {
		q.Push(item(n, "x", "A", 1))
	}
	for n := 10; n < 14; n++ {
		q.Push(item(n, "y", "A", 2))
	}
	for n := 14; n < 22; n++ {
		q.Push(item(n, "z", "B", 2))
	}
	q.Push(item(22, "z", "A", 2))
	q.Push(item(23, "z", "A", 2))
	q.Push(item(24, "z", "A", 2))
	assert.Equal(t, q.Victim().ID, "000024")
	q.Remove("000024")
	q.Remove("000023")
	assert.Equal(t, q.Victim().ID, "000021")
}

// TestExpired checks that expired items are removed, and that one that was removed
// before is not returned.
func TestExpired(t *testing.T) {
	q := NewQueue()
	q.Configure([]Class{{Name: "x", Rank: 1, Weight: 1}}, nil)
	for n := range 3 {
		it := item(n, "x", "A", 1)
		it.Expires = start.Add(time.Duration(n) * time.Second)
		q.Push(it)
	}
	q.Remove("000000")
	assert.Equal(t, len(q.Expired(start.Add(time.Second))), 1)
	assert.Equal(t, q.Len(), 1)
}
