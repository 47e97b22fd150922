package roster

import (
	"math"
	"time"
)

// An entry expires after missedHeartbeats without a write. The last write may have been a
// heartbeat before an outage, so that an outage of one less may be enough.
const missedHeartbeats = 3

// outage is an outage of the store that may have been.
type outage struct {
	length    time.Duration // at most
	heartbeat time.Duration // between two writes of an upstream to its entry
}

// unknownOutage may have had any length.
var unknownOutage = outage{length: math.MaxInt64, heartbeat: defaultHeartbeat}

// beyond returns by how much the outage is longer than the shortest one in which an entry expires;
// negative if it is shorter.
func (o outage) beyond() time.Duration {
	return o.length - (missedHeartbeats-1)*o.heartbeat
}

// mayExpire reports whether entries may have expired in the outage.
func (o outage) mayExpire() bool {
	return o.beyond() >= 0
}

// mayExpireShare reports whether n of all entries may have expired in the outage. The upstreams
// write their entries at different times, so that in a heartbeat one after the other expires.
func (o outage) mayExpireShare(n, all int) bool {
	return o.beyond().Seconds()*float64(all) >= o.heartbeat.Seconds()*float64(n)
}
