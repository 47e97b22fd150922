// Package quarantine finds the requests that crash upstreams and refuses them, from what the
// instances of a fleet see together. It knows a request by its traits: the parts of its
// prompt, and its fingerprint. A crash names the requests that waited at the upstream for
// their first event, and all that had no whole answer yet; a trait that was among them in
// several crashes, and with which no upstream has answered since, is held to be the cause.
//
// It decides without a network: packages exchange and edge carry its facts between the
// instances and to the store.
package quarantine
