package instance

import (
	"maps"

	"azurestair.example/azurestair"
)

// allDispatchers returns the dispatchers by service, with those of removed services
// that are still in use.
func (e *Entry) allDispatchers() map[azurestair.ServiceName]*dispatcher {
	if dispatchers := e.dispatchers.Load(); dispatchers != nil {
		return *dispatchers
	}
	return nil
}

// configuredDispatchers returns the dispatchers of the services of a
// configuration, without those that only finish earlier requests. Its size, and
// that of what is reported for each of them, is bounded by the configuration.
func (e *Entry) configuredDispatchers(cfg *azurestair.Config) map[azurestair.ServiceName]*dispatcher {
	all, out := e.allDispatchers(), make(map[azurestair.ServiceName]*dispatcher, len(cfg.Services))
	for _, s := range cfg.Services {
		if d, ok := all[s.Name]; ok {
			out[s.Name] = d
		}
	}
	return out
}

// retireDispatchers ends the dispatchers of services that the configuration no
// longer has, once their requests have ended. What a dispatcher knows of upstreams
// is kept while these are listed, in case the service comes back.
func (e *Entry) retireDispatchers() {
	v, all := e.view.Load(), e.allDispatchers()
	if v == nil || len(all) <= len(v.snapshot.Config.Services) {
		return
	}
	unused := maps.Clone(all)
	for _, s := range v.snapshot.Config.Services {
		delete(unused, s.Name)
	}
	for _, u := range v.snapshot.Upstreams {
		delete(unused, u.Announcement.Service)
	}
	maps.DeleteFunc(unused, func(_ azurestair.ServiceName, d *dispatcher) bool { return !d.retire() })
	if len(unused) == 0 {
		return
	}
	kept := maps.Clone(all)
	maps.DeleteFunc(kept, func(name azurestair.ServiceName, _ *dispatcher) bool { return unused[name] != nil })
	e.dispatchers.Store(&kept)
}
