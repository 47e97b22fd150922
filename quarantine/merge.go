package quarantine

import "time"

const (
	freshTime = 15 * time.Second // age up to which peers are told of crashes and answers
	maxFacts  = 512              // facts that are told at once

	// Times from peers that differ by less than the tolerance are the same, because each
	// transport translates them to the local clock anew.
	answerTolerance  = 100 * time.Millisecond
	verdictTolerance = time.Second
)

// Apply applies facts from other instances or from the store.
func (q *Quarantine) Apply(now time.Time, facts []Fact) {
	q.mu.Lock()
	defer q.unlock()
	before := q.generation
	for _, fact := range facts {
		switch f := fact.(type) {
		case Implicated:
			if now.Sub(f.At) <= evidenceTime {
				q.implicate(now, f.Trait, f.Place, crash{id: f.Crash, at: f.At, learnedAt: now}, peerSource)
			}
		case Answered:
			q.applyAnswer(now, f.Trait, f.At)
		case Released:
			q.applyAnswer(now, f.Trait, f.At)
		case Convicted:
			q.applyVerdict(now, f)
		}
	}
	if q.generation > before {
		q.decide(now)
	}
}

// applyAnswer applies an answer that a peer has seen. The caller holds q.mu.
func (q *Quarantine) applyAnswer(now time.Time, trait uint64, at time.Time) {
	known := q.answeredAt(trait)
	if s := q.suspects[trait]; s != nil {
		known = s.answeredAt
	}
	if at.Sub(known) < answerTolerance {
		return
	}
	q.answered.record(trait, at)
	q.clear(now, trait, at, peerSource)
}

// applyVerdict applies a verdict of a peer or from the store. The caller holds q.mu.
func (q *Quarantine) applyVerdict(now time.Time, v Convicted) {
	s := q.suspectOf(now, v.Trait)
	if !v.At.After(s.answeredAt) {
		q.shareAnswer(now, s)
		return
	}
	if s.tried() && v.Until.Sub(s.verdict.Until) < verdictTolerance {
		return
	}
	q.setVerdict(s, v)
	s.released = false
	if s.expired(now) {
		q.forget(s)
		return
	}
	q.generation++
	if s.convicted(now) {
		q.withdraw(s.id)
	}
	q.log(now, s, peerSource).Warn(s.noun() + " is quarantined")
}

// Facts returns the facts that other instances need, the most important first.
func (q *Quarantine) Facts(now time.Time) []Fact {
	q.mu.Lock()
	defer q.unlock()
	q.decideIfDue(now)
	var verdicts, news []Fact
	for _, s := range q.recentSuspects(now) {
		if s.tried() {
			verdicts = append(verdicts, s.verdict)
		}
		news = append(news, s.news(now)...)
	}
	facts := append(verdicts, news...)
	return facts[:min(len(facts), maxFacts)]
}

// news returns the recent facts about a trait, except its verdict.
func (s *suspect) news(now time.Time) []Fact {
	var facts []Fact
	if now.Before(s.shareAnswerUntil) {
		if s.released {
			facts = append(facts, Released{Trait: s.id, At: s.answeredAt})
		} else {
			facts = append(facts, Answered{Trait: s.id, At: s.answeredAt})
		}
	}
	for _, c := range s.crashes {
		if now.Sub(c.learnedAt) <= freshTime {
			facts = append(facts, Implicated{Trait: s.id, Place: s.place, Crash: c.id, At: c.at})
		}
	}
	return facts
}
