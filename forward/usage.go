package forward

// countBegun counts that an upstream has begun to run the request, once for each request.
func (rs *requestState) countBegun() {
	if rs.s.Usage == nil || rs.counted {
		return
	}
	rs.counted = true
	organisation := ""
	if rs.organisation != nil {
		organisation = rs.organisation.Name
	}
	rs.s.Usage.Begun(organisation, rs.pool.Name, rs.choice.Missing)
}

// countEnd counts a stream that has ended, and whether it missed its targets.
func (rs *requestState) countEnd() {
	if rs.s.Usage == nil || !rs.counted || !rs.route.Stream {
		return
	}
	lateFirst := rs.route.Aim > 0 && rs.firstByte > rs.route.Aim
	rs.s.Usage.StreamEnded(rs.pool.Name, lateFirst, rs.route.GapAim > 0 && rs.stream.maxGap > rs.route.GapAim)
}
