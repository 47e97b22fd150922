package tier

import (
	"sort"
	"time"
)

// Item is one waiting request.
type Item struct {
	ID           string
	Class        string
	Organisation string
	Rank         int       // Rank is the tier's rank; 1 is the highest.
	Cost         float64   // Cost is the expected work, in tokens.
	Arrived      time.Time // Arrived is when the request first arrived.
	Due          time.Time // Due is when the request becomes late.
	Expires      time.Time // Expires is when the request is refused.
}

// line is a list of items ordered by Due, then ID. Appending in order and
// taking from either end cost constant time.
type line struct {
	items []*Item
	head  int
}

func (l *line) len() int {
	return len(l.items) - l.head
}

func before(a, b *Item) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.ID < b.ID
}

// find returns the position of the first item not before it.
func (l *line) find(it *Item) int {
	n := sort.Search(l.len(), func(i int) bool { return !before(l.items[l.head+i], it) })
	return l.head + n
}

func (l *line) push(it *Item) {
	at := len(l.items)
	if l.len() > 0 && before(it, l.items[at-1]) {
		at = l.find(it)
	}
	l.items = append(l.items, nil)
	copy(l.items[at+1:], l.items[at:])
	l.items[at] = it
}

func (l *line) first() *Item {
	return l.items[l.head]
}

func (l *line) last() *Item {
	return l.items[len(l.items)-1]
}

func (l *line) remove(it *Item) {
	at := l.find(it)
	if at == l.head {
		l.items[at] = nil
		l.head++
		l.compact()
		return
	}
	copy(l.items[at:], l.items[at+1:])
	l.items[len(l.items)-1] = nil
	l.items = l.items[:len(l.items)-1]
}

// compact drops the free places at the front once they are the larger part.
func (l *line) compact() {
	if l.head < 32 || l.head*2 < len(l.items) {
		return
	}
	n := copy(l.items, l.items[l.head:])
	for i := n; i < len(l.items); i++ {
		l.items[i] = nil
	}
	l.items = l.items[:n]
	l.head = 0
}
