package forward

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"knapweedwell/invariant"
	"knapweedwell/metric"
	"knapweedwell/platform"
	"knapweedwell/quarantine"
	"knapweedwell/request"
)

// end records the request in metrics and log, and writes the failure, if any,
// to the caller.
func (rs *requestState) end(f *request.Failure) {
	result := "ok"
	if f != nil {
		result = string(f.Type)
		rs.s.Check.Check(invariant.TrueNotRun, f.Type != request.NotRun || rs.runs == 0,
			"request %s is refused as not run after %d runs", rs.headers.ID, rs.runs)
	}
	if rs.callerGone {
		result = "left"
	}
	rs.record(result, f)
	if rs.s.Admission != nil && rs.delivered && rs.route.Stream {
		rs.s.Admission.ObserveAnswer(rs.route.Name, time.Since(rs.arrived)-rs.firstByte)
	}
	switch {
	case f == nil:
	case rs.callerGone:
		// A caller that closed only its own side must see no answer that looks complete.
		panic(http.ErrAbortHandler)
	case rs.begun:
		rs.abort(f)
	default:
		rs.status = f.Status
		rs.extendWrite()
		platform.WriteFailure(rs.w, rs.headers.ID, f.Status, f.Error(), f.RetryAfter)
	}
}

// cutCause is the reason for which an answer that has begun is not completed.
type cutCause string

const (
	cutAtDeadline cutCause = "deadline" // the time of the request has passed
	cutBySilence  cutCause = "silence"  // the upstream was interrupted because it was silent
	cutByUpstream cutCause = "upstream" // the upstream broke off
	cutByStop     cutCause = "stop"     // the instance has left
)

// abort ends the connection of a request with the failure, so that the truncated
// answer does not look complete.
func (rs *requestState) abort(f *request.Failure) {
	cause := cutByUpstream
	switch {
	case !time.Now().Before(rs.deadline):
		cause = cutAtDeadline
	case rs.interrupted:
		cause = cutBySilence
	}
	rs.s.Metrics.ObserveCutOff(string(cause))
	rs.s.Log.WithFields(logrus.Fields{
		"RequestID": rs.headers.ID, "Route": rs.route.Name, "Cause": cause, "Events": rs.stream.events,
		"Millis": time.Since(rs.arrived).Milliseconds(), "Reason": f.Message,
	}).Warn("request cut off")
	panic(http.ErrAbortHandler)
}

// record adds the request to the metrics and logs its end.
func (rs *requestState) record(result string, f *request.Failure) {
	whole := time.Since(rs.arrived)
	fields := logrus.Fields{
		"RequestID": rs.headers.ID, "Result": result, "Millis": whole.Milliseconds(), "Sends": rs.sends, "Runs": rs.runs,
	}
	if rs.table != nil {
		fields["Version"] = rs.table.Version
	}
	if rs.route != nil {
		fields["Route"] = rs.route.Name
		fields["Rank"] = rs.rank
		sample := metric.Sample{Class: rs.route.Name, Result: result, FirstToken: rs.firstByte, Whole: whole}
		if rs.organisation != nil {
			sample.Organisation = rs.organisation.Name
			fields["Organisation"] = rs.organisation.Name
		}
		sample.Attained = f == nil && rs.firstByte <= rs.route.Aim
		rs.s.Metrics.Observe(sample)
		rs.countEnd()
	}
	if c := rs.choice; c.Upstream != nil {
		fields["Upstream"] = c.Upstream.ID
		fields["PredictedMillis"] = c.Predicted.Milliseconds()
		fields["FirstMillis"] = rs.firstByte.Milliseconds()
		fields["Missing"] = c.Missing
		fields["Ahead"] = c.Running
		fields["PeersAgeMillis"] = c.PeersAge.Milliseconds()
		if rs.route.Stream {
			fields["GapMillis"] = rs.stream.maxGap.Milliseconds()
		}
	}
	if f != nil {
		fields["Reason"] = f.Message
	}
	if rs.refusal != nil {
		fields["Part"] = quarantine.TraitName(rs.refusal.Trait.ID)
		fields["Quarantined"] = rs.refusal.Quarantined
	}
	rs.s.Log.WithFields(fields).Info("request ended")
}

// warn logs a failed send with the given message.
func (rs *requestState) warn(message, reason string) {
	rs.s.Log.WithFields(logrus.Fields{
		"RequestID": rs.headers.ID, "Route": rs.route.Name, "Upstream": rs.choice.Upstream.ID, "Sends": rs.sends, "Runs": rs.runs,
		"Events": rs.stream.events, "KeptConnection": rs.reused, "Interrupted": rs.interrupted, "Reason": reason,
	}).Warn(message)
}
