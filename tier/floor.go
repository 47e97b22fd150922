package tier

// maxCredit is the most floor credit that a class can save up, in dispatches.
const maxCredit = 2

// floor keeps the credit of one class. Each dispatch of the queue adds the
// class's share while the class has demand; one credit buys one dispatch.
type floor struct {
	class  string
	rank   int
	share  float64
	credit float64
	demand bool // demand is true while the class waits or was shed.
	missed int  // missed counts the dispatches of others while the class waits.
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

// spend pays for one dispatch of the class. Dispatches in regular order count
// towards the floor as well.
func (f *floor) spend() {
	f.credit--
	if f.credit < 0 {
		f.credit = 0
	}
	f.missed = 0
}

// maxMissed is the most dispatches of others that a waiting class may see
// between two of its own, given the number of classes that have floors due.
func (f *floor) maxMissed(classes int) int {
	return int(1/f.share) + 2*classes + 2
}
