// Package pool makes the decisions for one shard of a pool: which waiting request
// is granted which upstream, which is shed and which running one is preempted.
//
// A shard depends only on its calls: time is passed in, and each call returns the
// decisions that follow from it. The shard's owner carries them out.
package pool
