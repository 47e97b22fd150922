// Command harness runs the scripted cases of the second review. It starts instances of the
// router as separate processes, plays the platform's store, the upstreams and the callers
// itself, and judges only what those have seen.
package main
