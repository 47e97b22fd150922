// Package soak runs instances as separate processes on one machine, injects
// random faults from outside them and, meanwhile, checks what callers and
// upstreams see.
//
// The store and the upstreams are stand-ins inside the soak's process. Loopback
// proxies are placed in front of the store (one for each instance), the peer
// address and the datagram address of each instance, the caller address of each
// instance, and each upstream. They delay data, reset connections, hold back one
// direction, or stop forwarding on open connections without closing them.
// Processes are stopped, paused, killed and reloaded by signals. Several series
// of faults overlap.
//
// The seed determines which faults are injected, where and for how long; it does
// not determine how the processes interleave. The daemon uses the wall clock only
// to number the incarnations of an instance and the intervals of the retry budget,
// and to date records and log lines. All other decisions use elapsed time, which
// only pauses disturb.
package soak
