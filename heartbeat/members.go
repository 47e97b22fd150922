package heartbeat

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"knapweedwell/member"
)

// RecentChanges returns the members that changed recently.
func (s *Service) RecentChanges() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.RecentChanges(time.Now())
}

// MergeNews applies members that another instance has reported.
func (s *Service) MergeNews(news []member.Member) {
	s.merge(Beat{News: news})
}

// FetchMembersAsync fetches the members of the instance at the address in the
// background.
func (s *Service) FetchMembersAsync(address string) {
	s.group.Go(func(ctx context.Context) { s.fetchMembers(ctx, address) })
}

// Fleet is an instance's whole view: all members and the incarnations that have
// ended.
type Fleet struct {
	Members []member.Member
	Endings []member.Ending
}

func (s *Service) serveMembers(context.Context, string, json.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Fleet{Members: s.view.All(), Endings: s.view.Endings(time.Now())}, nil
}

// join sends a heartbeat to the seeds that are not known as running and fetches the
// members of one that answers. It is called repeatedly, because a seed may start later
// than this instance.
func (s *Service) join(ctx context.Context) {
	known := map[string]bool{s.Peers.Address: true}
	for _, m := range s.Members() {
		known[m.Peer] = m.State != member.Gone
	}
	var wg sync.WaitGroup
	answered := make(chan string, len(s.Seeds))
	for _, seed := range s.Seeds {
		if known[seed] {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if s.sendBeat(ctx, seed) == nil {
				answered <- seed
			}
		}()
	}
	wg.Wait()
	select {
	case seed := <-answered:
		s.mergeMembersOf(ctx, seed)
	default:
	}
}

// fetchMembers sends a heartbeat to one instance and merges the members and
// endings of its view.
func (s *Service) fetchMembers(ctx context.Context, address string) {
	if address == s.Peers.Address {
		return
	}
	_ = s.sendBeat(ctx, address)
	s.mergeMembersOf(ctx, address)
}

// mergeMembersOf merges the members and endings of the view of one instance.
func (s *Service) mergeMembersOf(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var all Fleet
	if err := s.Peers.Call(ctx, address, membersMethod, nil, &all); err != nil {
		return
	}
	s.With(func(v *member.View) {
		for _, e := range all.Endings {
			v.MergeEnding(time.Now(), e)
		}
	})
	s.merge(Beat{News: all.Members})
}
