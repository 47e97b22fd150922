// Package experiment compares scheduling policies on a scenario. It drives the
// router's own decision code (package pool) with a model of engines and demand
// in discrete events, so that hours of virtual time take seconds.
package experiment
