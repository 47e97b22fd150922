// Package config reads, checks and compares the configuration that operators
// apply: tiers, classes, organisations, regions, models, services and
// upstreams. Parse accepts a text only if all of it is valid; otherwise it returns
// every finding with its place.
package config
