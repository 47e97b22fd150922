// Package duty keeps the lease of the duties: calls that one instance at a time makes to the
// platform. The lease is one object of the platform's store, which is changed by conditional
// writes only. It names the holder and a fencing token that rises with each holder. See
// docs/design/duties.md.
package duty
