// Package transfer passes one versioned value on between instances, such as the route
// table: each instance offers the version that it has, and an instance that hears of a
// newer one fetches it from those that have it.
//
// A value is sent compressed, as the difference to the version that the reader has if the
// sender still has that one, too. It is sent in parts of a few kilobytes, and a reader
// resumes at the part that was missing, at another instance if need be. An instance sends
// large values to a few readers at a time; the others are told which readers have it
// already. So n instances on links of b bytes a second get a value of s compressed bytes in
// about
//
//	maxReaders * s/b * log(n) / log(maxReaders+1)
//
// seconds, and no link carries it more often than the instance has readers.
package transfer
