// Package admission decides which requests an instance sends, keeps waiting or refuses while
// the upstreams of a pool have too little room: Gate decides by time, Room by the tokens or
// slots that an upstream has left, and Queue orders the requests that wait for room.
//
// The decisions depend only on the calls and the times in them. Package forward uses them
// where the deployment has the feature "pressure".
package admission
