package azurestair

// Approximate memory of the parts of a configuration, without their text.
const (
	configBytes      Bytes = 1024
	routeBytes       Bytes = 168
	routePartBytes   Bytes = 32
	serviceBytes     Bytes = 96
	operationBytes   Bytes = 48
	workspaceBytes   Bytes = 128
	regionBytes      Bytes = 64
	exceptionBytes   Bytes = 96
	stringValueBytes Bytes = 16
)

// Size returns the approximate memory that the configuration takes with its
// document. It is the same on all instances.
func (c *Config) Size() Bytes {
	n := configBytes + Bytes(len(c.Document))
	for _, s := range c.Services {
		n += s.size()
	}
	for _, r := range c.Routes {
		n += r.size()
	}
	for _, w := range c.Workspaces {
		n += w.size()
	}
	for _, r := range c.Regions {
		n += regionBytes + Bytes(len(r.Name)) + stringsSize(r.FailureDomains)
	}
	for _, l := range c.Links {
		n += regionBytes + Bytes(len(l.From)+len(l.To))
	}
	for _, e := range c.Exceptions {
		n += exceptionBytes + Bytes(len(e.Target.Name)+len(e.Setting)+len(e.Reason))
	}
	return n
}

func (s Service) size() Bytes {
	n := serviceBytes + Bytes(len(s.Name)+len(s.HealthPath))
	for _, o := range s.Operations {
		n += operationBytes + Bytes(len(o.Name))
	}
	return n
}

func (r Route) size() Bytes {
	n := routeBytes + Bytes(len(r.Name)+len(r.Host)+len(r.PathPrefix)) + stringsSize(r.HomeRegions)
	for _, s := range r.Services {
		n += routePartBytes + Bytes(len(s.Service))
	}
	return n
}

func (w Workspace) size() Bytes {
	n := workspaceBytes + Bytes(len(w.Name)) + stringsSize(w.HomeRegions)
	return n + Bytes(len(w.Keys)*len(KeyDigest{}))
}

func stringsSize[T ~string](list []T) Bytes {
	n := Bytes(0)
	for _, s := range list {
		n += stringValueBytes + Bytes(len(s))
	}
	return n
}
