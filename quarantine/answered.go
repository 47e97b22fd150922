package quarantine

import (
	"container/list"
	"time"
)

const maxAnswered = 8192 // traits whose most recent answer is remembered

// answeredTraits remembers when traits were last answered, the most recent ones only.
type answeredTraits struct {
	traits map[uint64]*list.Element
	recent list.List // answeredTrait, the most recently answered first
}

type answeredTrait struct {
	trait uint64
	at    time.Time
}

// record records an answer.
func (a *answeredTraits) record(trait uint64, at time.Time) {
	if a.traits == nil {
		a.traits = map[uint64]*list.Element{}
	}
	if e := a.traits[trait]; e != nil {
		e.Value = answeredTrait{trait: trait, at: at}
		a.recent.MoveToFront(e)
		return
	}
	a.traits[trait] = a.recent.PushFront(answeredTrait{trait: trait, at: at})
	if len(a.traits) > maxAnswered {
		oldest := a.recent.Remove(a.recent.Back()).(answeredTrait)
		delete(a.traits, oldest.trait)
	}
}

// at returns when a trait was last answered, the zero time if that is not known.
func (a *answeredTraits) at(trait uint64) time.Time {
	if e := a.traits[trait]; e != nil {
		return e.Value.(answeredTrait).at
	}
	return time.Time{}
}
