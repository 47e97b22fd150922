package edge

import (
	"time"

	"knapweedwell/kernel"
	"knapweedwell/member"
	"knapweedwell/platform"
	"knapweedwell/webserver"
)

const maxAddresses = 64 // maxAddresses bounds the addresses in one answer.

// directory tells callers where to connect, and the platform whether this
// instance is ready.
type directory struct {
	instance  *Instance
	addresses *webserver.Server
	readiness *webserver.Server
}

// Run starts listening.
func (d *directory) Run(*kernel.Kernel) error {
	i := d.instance
	d.readiness = &webserver.Server{Address: i.Settings.Routes.Readiness, Handler: platform.Readiness(i.Live), Listen: i.Listen}
	if err := d.readiness.Run(); err != nil {
		return err
	}
	d.addresses = &webserver.Server{Address: i.Settings.Routes.Directory, Handler: platform.Addresses(d.list), Listen: i.Listen}
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

// list returns the instances of the caller's zone if there are two or more, and
// those of the region or of all regions otherwise.
func (d *directory) list(p platform.Place) ([]string, time.Duration) {
	live := d.live()
	region := p.Region
	if region == "" {
		region = d.instance.Settings.Routes.Zones[p.Zone]
	}
	var zone, near, all []string
	for _, m := range live {
		all = append(all, m.Caller)
		if m.Region == region {
			near = append(near, m.Caller)
		}
		if m.Zone == p.Zone {
			zone = append(zone, m.Caller)
		}
	}
	lifetime := d.instance.routes.Load().AddressLifetime
	for _, list := range [][]string{zone, near} {
		if len(list) > 1 {
			return list[:min(len(list), maxAddresses)], lifetime
		}
	}
	return all[:min(len(all), maxAddresses)], lifetime
}

// live returns the live instances that were heard lately, or all live ones if
// none was heard.
func (d *directory) live() []member.Member {
	i := d.instance
	var live, heard []member.Member
	i.Beats.With(func(v *member.View) { live = v.Live() })
	others, patience := 0, i.Picture.Patience()
	for _, m := range live {
		if m.Name == i.Settings.Name {
			heard = append(heard, m)
			continue
		}
		state, silence, ok := i.Picture.Heard(m.Name)
		if ok && silence < patience && state == member.Live {
			heard = append(heard, m)
			others++
		}
	}
	if others == 0 {
		return live
	}
	return heard
}
