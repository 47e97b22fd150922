package tier

// maxCredit is the largest floor credit that a class can accumulate, in dispatches.
const maxCredit = 2

// floor is the credit account of one class. Each dispatch of another class adds
// the class's share while the class has demand. A credit of one makes a dispatch
// due, and each dispatch of the class takes one.
type floor struct {
	class      string
	rank       int
	share      float64
	credit     float64
	demand     bool // requests of the class wait or were shed since its last dispatch
	passedOver int  // consecutive dispatches of others while the class waits
}

func (f *floor) accrue() {
	if !f.demand {
		return
	}
	f.credit += f.share
	if f.credit > maxCredit {
		f.credit = maxCredit
	}
}

func (f *floor) due() bool {
	return f.credit >= 1
}

// spend takes one credit for a dispatch of the class. Dispatches in regular order
// count towards the floor as well.
func (f *floor) spend() {
	f.credit--
	if f.credit < 0 {
		f.credit = 0
	}
	f.passedOver = 0
}

// maxPassedOver returns the largest permitted number of dispatches of others
// between two dispatches of a waiting class, given the number of classes with a
// floor.
func (f *floor) maxPassedOver(classes int) int {
	return int(1/f.share) + 2*classes + 2
}
