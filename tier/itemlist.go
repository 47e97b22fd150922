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
	Rank         int       // rank of the tier; 1 is the highest
	Cost         float64   // expected work in tokens
	Arrived      time.Time // time of the request's first arrival
	Due          time.Time // time from which the request is late
	Expires      time.Time // time from which the request is refused
}

// itemList is a list of items ordered by Due, then ID. Appending in order
// takes amortised constant time, and so does removing the first or the last item
// once its index is found.
type itemList struct {
	items []*Item
	head  int // index of the first item
}

func (l *itemList) len() int {
	return len(l.items) - l.head
}

func before(a, b *Item) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.ID < b.ID
}

// find returns the index of the first item that is not before it.
func (l *itemList) find(it *Item) int {
	n := sort.Search(l.len(), func(i int) bool { return !before(l.items[l.head+i], it) })
	return l.head + n
}

func (l *itemList) push(it *Item) {
	at := len(l.items)
	if l.len() > 0 && before(it, l.items[at-1]) {
		at = l.find(it)
	}
	l.items = append(l.items, nil)
	copy(l.items[at+1:], l.items[at:])
	l.items[at] = it
}

func (l *itemList) first() *Item {
	return l.items[l.head]
}

func (l *itemList) last() *Item {
	return l.items[len(l.items)-1]
}

func (l *itemList) remove(it *Item) {
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

// compact drops the free places at the front once there are at least 32 and they
// make up half of the slice.
func (l *itemList) compact() {
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
