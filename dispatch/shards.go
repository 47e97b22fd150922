package dispatch

import (
	"math/rand/v2"

	"knapweedwell/request"
	"knapweedwell/revision"
	"knapweedwell/shard"
)

// maxShardsPerRegion limits the shards of one region that are asked for a grant.
const maxShardsPerRegion = 3

// shardsToAsk returns the shards to ask for a grant: those of the nearest region
// first, and within a region those that this instance owns first.
func (s *Service) shardsToAsk(snap *revision.Snapshot, req *request.Request) []string {
	var names []string
	for _, region := range snap.Config.RegionOrder(s.Region) {
		names = append(names, s.shardsOfRegion(snap.Plan.Shards(req.Target, region))...)
	}
	return names
}

// shardsOfRegion returns at most maxShardsPerRegion of the shards of one region:
// those that this instance owns first, and each group in random order.
func (s *Service) shardsOfRegion(shards []*shard.Shard) []string {
	var owned, others []string
	for _, sh := range shards {
		m, ok := s.Owners.Owner(sh.Name)
		if ok && m.Name == s.Self {
			owned = append(owned, sh.Name)
			continue
		}
		others = append(others, sh.Name)
	}
	rand.Shuffle(len(owned), func(i, j int) { owned[i], owned[j] = owned[j], owned[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	all := append(owned, others...)
	if len(all) > maxShardsPerRegion {
		all = all[:maxShardsPerRegion]
	}
	return all
}
