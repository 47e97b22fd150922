package dispatch

import (
	"math/rand/v2"

	"knapweedwell/request"
	"knapweedwell/revision"
	"knapweedwell/shard"
)

// maxShardsAsked bounds the shards of one region that are asked for a request.
const maxShardsAsked = 3

// route returns the shards to ask for a request: those of the nearest region
// first, in a region those that are owned here first.
func (s *Service) route(snap *revision.Snapshot, req *request.Request) []string {
	var names []string
	for _, region := range snap.Config.RegionOrder(s.Region) {
		names = append(names, s.routeRegion(snap.Plan.Pool(req.Target, region))...)
	}
	return names
}

func (s *Service) routeRegion(shards []*shard.Shard) []string {
	var mine, others []string
	for _, sh := range shards {
		m, ok := s.Owners.Owner(sh.Name)
		if ok && m.Name == s.Self {
			mine = append(mine, sh.Name)
			continue
		}
		others = append(others, sh.Name)
	}
	rand.Shuffle(len(mine), func(i, j int) { mine[i], mine[j] = mine[j], mine[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	all := append(mine, others...)
	if len(all) > maxShardsAsked {
		all = all[:maxShardsAsked]
	}
	return all
}
