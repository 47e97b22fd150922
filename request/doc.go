// Package request defines the request of a caller and the typed failures with
// which it may end.
package request
