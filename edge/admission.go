package edge

import (
	"fmt"
	"time"

	"knapweedwell/admission"
	"knapweedwell/setting"
)

// buildAdmission builds the admission control and registers its metrics. It returns nil for a
// deployment that does not ask for it.
func (i *Instance) buildAdmission() *admission.Control {
	r := i.Settings.Routes
	if !r.AdmissionControl || !r.HasFeature(setting.PressureFeature) {
		return nil
	}
	c := admission.NewControl(time.Now(), i.Settings.Name, i.Heartbeats.Members, i.Log)
	for _, cause := range admission.Causes {
		i.metrics.Gauge(fmt.Sprintf(`knapweedwell_admission_refused_total{cause=%q}`, cause), func() float64 { return float64(c.RefusedCount(cause)) })
	}
	i.metrics.Gauge("knapweedwell_admission_held_back_total", func() float64 { return float64(c.Counts().Held) })
	i.metrics.Gauge("knapweedwell_admission_held_back", func() float64 { return float64(c.Counts().Holding) })
	i.metrics.Gauge("knapweedwell_admission_queued_total", func() float64 { return float64(c.Counts().Queued) })
	i.metrics.Gauge("knapweedwell_admission_queued", func() float64 { return float64(c.Counts().Waiting) })
	i.metrics.Gauge("knapweedwell_admission_default_tokens_total", func() float64 { return float64(c.Counts().Defaulted) })
	i.metrics.Gauge("knapweedwell_admission_room_taken", func() float64 { return float64(c.Room.Held()) })
	return c
}
