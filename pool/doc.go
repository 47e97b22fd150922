// Package pool makes the decisions for one shard of a pool: which waiting request
// is granted which upstream, which is shed and which running one is preempted.
//
// A shard depends only on its calls: time is passed in, and each call returns the
// decisions that follow from it. The shard's owner carries them out.
//
// A Shard schedules the requests of one shard; shard.Shard is its part of the
// plan. A pool consists of the upstreams of one target in one region, whereas a
// route.Pool may span regions.
package pool
