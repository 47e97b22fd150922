// Package soak runs real instances as separate processes on one machine, brings
// about random faults from outside them, and checks what callers and upstreams
// see while it does.
//
// The store and the upstreams are stand-ins inside the soak's process. Loopback
// proxies stand before the store (one for each instance), the peers and
// datagrams of each instance, each instance as its callers see it, and each
// upstream. They delay, reset, hold back one direction, or let open connections
// fall silent. Processes are stopped, paused, killed and told to reload by
// signals. Series of faults overlap.
//
// The seed decides which faults come, where and for how long; how the processes
// interleave is not part of it. The daemon reads no wall clock for a decision, so
// clocks are disturbed by pauses only.
package soak
