// Package intake bounds what clients take of a process before their requests run: the bytes
// that were read and not yet handed on, which a Budget counts, and the connections at each
// Port. When a bound is reached, those who cost the most for the least give way: the largest
// unfinished input, the connection that has waited longest without a whole head, the oldest
// idle connection. A request that is being served never gives way.
package intake
