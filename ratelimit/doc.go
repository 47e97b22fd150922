// Package ratelimit keeps the requests that all instances together send to an upstream
// within the rate that the upstream has named in its answers.
//
// There is no coordinator. An upstream with a limit of r requests a second is used by k of
// the n live instances, at least one and at most r rounded up, in the order of the hashes of
// the instance and the upstream, those in the upstream's region first. Each of them sends
// r/k requests a second from a bucket that holds one. All instances know the limit, from
// their own answers or from peers, and the same members, so that they agree on the k without
// a message for it. In any t seconds the upstream then gets at most
//
//	r*t + k  <=  r*t + r + 1
//
// requests, whatever n is. If the views of the members differ in d instances, up to d others
// count themselves among the k, each with r*t/k + 1 requests more. Instances that have not
// heard of the limit yet add what they send until the first answer, or the first news of a
// peer, which takes about a second.
//
// A limit ends when answers no longer name it. One instance of those that use the upstream
// sends to it even at a limit of zero, once in ten seconds, so that the end is noticed.
package ratelimit
