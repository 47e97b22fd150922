package edge

import (
	"time"

	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/platform"
	"knapweedwell/webserver"
)

const maxAddresses = 64 // addresses in one answer

// directory serves the addresses of instances to callers, and the readiness of
// this instance to the platform.
type directory struct {
	instance  *Instance
	addresses *webserver.Server
	readiness *webserver.Server
}

// Run starts listening.
func (d *directory) Run(*kernel.Kernel) error {
	i := d.instance
	d.readiness = i.server(readinessPort, i.Settings.Routes.Readiness)
	d.readiness.Handler = platform.ReadinessHandler(i.Live)
	if err := d.readiness.Run(); err != nil {
		return err
	}
	d.addresses = i.server(addressesPort, i.Settings.Routes.Directory)
	d.addresses.Handler = platform.AddressHandler(d.list)
	return d.addresses.Run()
}

// Close closes all connections.
func (d *directory) Close() error {
	err := d.addresses.Close()
	if e := d.readiness.Close(); err == nil {
		err = e
	}
	return err
}

// list returns the addresses for callers of the instances in the caller's zone if
// there are two or more, else of those in its region if there are two or more,
// else of all, and how long callers may use them.
func (d *directory) list(q platform.AddressQuery) ([]string, time.Duration) {
	reachable := d.reachable()
	region := q.Region
	if region == "" {
		region = d.instance.Settings.Routes.Zones[q.Zone]
	}
	var inZone, inRegion, all []string
	for _, m := range reachable {
		all = append(all, m.Caller)
		if m.Region == region {
			inRegion = append(inRegion, m.Caller)
		}
		if m.Zone == q.Zone {
			inZone = append(inZone, m.Caller)
		}
	}
	lifetime := d.instance.routes.Load().AddressLifetime
	for _, list := range [][]string{inZone, inRegion} {
		if len(list) > 1 {
			return list[:min(len(list), maxAddresses)], lifetime
		}
	}
	return all[:min(len(all), maxAddresses)], lifetime
}

// reachable returns this instance and the live ones that are known to be running, or
// all live ones if no other instance is.
func (d *directory) reachable() []member.Member {
	i := d.instance
	var live, running []member.Member
	i.Heartbeats.With(func(v *member.View) { live = v.Live() })
	others := 0
	for _, m := range live {
		if m.Name == i.Settings.Name {
			running = append(running, m)
			continue
		}
		if runs, known := i.Exchange.Running(m); runs || !known {
			running = append(running, m)
			others++
		}
	}
	if others == 0 {
		return live
	}
	return running
}
