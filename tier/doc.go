// Package tier orders waiting requests: by tier first, then with weighted
// fairness between the classes of a tier and the organisations of a class,
// then by the time at which each request becomes late. Every class has a floor: a
// minimum share of dispatches that it gets whatever waits in higher tiers.
//
// A queue depends only on its calls: time is passed in.
package tier
