// Package request holds the domain types of one caller's request and the
// typed failures with which it may end.
package request
