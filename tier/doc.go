// Package tier orders waiting requests: by tier first, then with weighted
// fairness between the classes of a tier and the organisations of a class,
// then by the time at which each request becomes late. Every class has a floor,
// a least share of dispatches, that no higher tier can take from it.
//
// A queue is a pure function of its calls: time is passed in.
package tier
