// Package experiment compares scheduling policies on a scenario. It runs the
// scheduling code of the router (package pool) in a discrete-event simulation
// of engines and demand, so that hours of simulated time take seconds.
package experiment
