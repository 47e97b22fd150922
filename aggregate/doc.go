// Package aggregate decides how the load reports of a large fleet are spread at a
// cost for each instance that does not grow with the fleet.
//
// In each availability zone two instances are aggregators. They receive the
// reports of the zone's instances, sum them, exchange the sums with the
// aggregators of the other zones, and send each instance of the zone the load of
// all others in one table. Who aggregates follows from the hashes of the names, so
// that no one is elected: an instance reports to the first two of its zone that
// are not silent, and whoever gets reports aggregates them.
//
// The package sends nothing itself and depends on nothing but the calls of its
// functions. Package exchange carries its values in datagrams.
package aggregate
