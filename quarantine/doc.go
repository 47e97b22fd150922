// Package quarantine finds the prompt parts that crash upstreams and refuses the requests
// that hold one, from what the instances of a fleet see together. A crash names the
// requests that waited at the upstream for their first event; a part that was among them
// in several crashes, and that no upstream has answered since, is held to be the cause.
//
// It decides without a network: packages exchange and edge carry its facts between the
// instances and to the store.
package quarantine
