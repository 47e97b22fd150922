// Package pool decides for one shard of a pool: which waiting request is
// granted which upstream, which is shed and which running one is preempted.
//
// A shard is a pure function of its calls: time is passed in, and each call
// returns the decisions that follow from it. Its owner carries them out.
package pool
