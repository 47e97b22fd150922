package quarantine

import (
	"container/list"
	"time"
)

const maxAnswered = 8192 // parts whose most recent answer is remembered

// answeredParts remembers when parts were last answered, the most recent ones only.
type answeredParts struct {
	parts  map[uint64]*list.Element
	recent list.List // answeredPart, the most recently answered first
}

type answeredPart struct {
	part uint64
	at   time.Time
}

// record records an answer.
func (a *answeredParts) record(part uint64, at time.Time) {
	if a.parts == nil {
		a.parts = map[uint64]*list.Element{}
	}
	if e := a.parts[part]; e != nil {
		e.Value = answeredPart{part: part, at: at}
		a.recent.MoveToFront(e)
		return
	}
	a.parts[part] = a.recent.PushFront(answeredPart{part: part, at: at})
	if len(a.parts) > maxAnswered {
		oldest := a.recent.Remove(a.recent.Back()).(answeredPart)
		delete(a.parts, oldest.part)
	}
}

// at returns when a part was last answered, the zero time if that is not known.
func (a *answeredParts) at(part uint64) time.Time {
	if e := a.parts[part]; e != nil {
		return e.Value.(answeredPart).at
	}
	return time.Time{}
}
