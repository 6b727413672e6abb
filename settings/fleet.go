package settings

import (
	"reflect"

	"azurestair.example/azurestair"
)

// ParseFleet reads a fleet configuration from the content of a file; name appears in errors.
func ParseFleet(name string, data []byte) (azurestair.Config, error) {
	var c azurestair.Config
	d, err := decode(name, data, &c)
	if err != nil {
		return azurestair.Config{}, err
	}
	d.checkFleet(&c)
	if len(d.faults) == 0 {
		// The checks above give lines; the rules of the root package decide.
		d.addErr("", c.Validate())
	}
	if err := d.err(); err != nil {
		return azurestair.Config{}, err
	}
	return c, nil
}

func (d *decoder) checkFleet(c *azurestair.Config) {
	checkFields(d, "defaults", azurestair.Defaults{}, c.Defaults)
	d.checkCount("services", len(c.Services), 0, azurestair.MaxServices)
	d.checkCount("regions", len(c.Regions), 0, azurestair.MaxRegions)
	d.checkCount("exceptions", len(c.Exceptions), 0, azurestair.MaxExceptions)
	names := map[string]bool{}
	for i, s := range c.Services {
		d.checkService(item("services", i), s, names)
	}
	d.checkRegions(c.Regions)
	d.checkLinks(c)
	valid := azurestair.Exception{
		Target:  azurestair.Target{Kind: azurestair.TargetUpstream, Name: "name"},
		Setting: azurestair.SettingWeight,
		Reason:  "reason",
	}
	for i, e := range c.Exceptions {
		checkFields(d, item("exceptions", i), valid, e)
	}
}

// checkFields finds the fields of got that fail T's own rules: it puts each of
// them alone into a valid value.
func checkFields[T azurestair.Validator](d *decoder, path string, valid, got T) {
	found := reflect.ValueOf(got)
	for i := range found.NumField() {
		key := join(path, tagOf(found.Type().Field(i)))
		if d.has(key) {
			continue
		}
		probe := valid
		reflect.ValueOf(&probe).Elem().Field(i).Set(found.Field(i))
		d.addErr(key, probe.Validate())
	}
	if !d.has(path) {
		d.addErr(path, got.Validate())
	}
}

func (d *decoder) checkCount(path string, n, least, most int) {
	if !d.has(path) && (n < least || n > most) {
		d.add(path, "has %d elements; allowed are %d to %d", n, least, most)
	}
}

func (d *decoder) checkService(path string, s azurestair.Service, names map[string]bool) {
	d.checkName(path+".name", string(s.Name))
	d.checkUnique(names, path+".name", string(s.Name))
	d.checkCount(path+".operations", len(s.Operations), 1, azurestair.MaxOperations)
	seen := map[string]bool{}
	for i, o := range s.Operations {
		op := item(path+".operations", i)
		d.checkName(op+".name", string(o.Name))
		d.checkUnique(seen, op+".name", string(o.Name))
		valid := azurestair.Operation{Name: o.Name, TimeoutMs: 1}
		if valid.Validate() != nil {
			valid.Name = "unnamed"
		}
		checkFields(d, op, valid, o)
	}
}

func (d *decoder) checkRegions(regions []azurestair.Region) {
	names, domains := map[string]bool{}, map[string]bool{}
	for i, r := range regions {
		path := item("regions", i)
		d.checkName(path+".name", string(r.Name))
		d.checkUnique(names, path+".name", string(r.Name))
		for n, f := range r.FailureDomains {
			key := item(path+".failureDomains", n)
			d.checkName(key, string(f))
			d.checkUnique(domains, key, string(f))
		}
	}
	if len(domains) > azurestair.MaxDomains {
		d.add("regions", "have %d failure domains; allowed are at most %d", len(domains), azurestair.MaxDomains)
	}
}

func (d *decoder) checkLinks(c *azurestair.Config) {
	listed := map[azurestair.RegionName]bool{}
	for _, r := range c.Regions {
		listed[r.Name] = true
	}
	seen := map[[2]azurestair.RegionName]bool{}
	for i, l := range c.Links {
		path := item("links", i)
		d.checkLinkEnd(path+".from", l.From, listed)
		d.checkLinkEnd(path+".to", l.To, listed)
		ends := [2]azurestair.RegionName{l.From, l.To}
		if l.From == l.To && !d.has(path) {
			d.add(path+".to", "is the same region as from; allowed is another region")
		}
		if seen[ends] && !d.has(path) {
			d.add(path, "link from %s to %s is listed twice; allowed is once for each direction", l.From, l.To)
		}
		seen[ends] = true
		if key := path + ".limitBytesPerSecond"; l.LimitBs < 1 && !d.has(key) {
			d.add(key, "is %d; allowed is at least 1", l.LimitBs)
		}
	}
}

func (d *decoder) checkLinkEnd(path string, r azurestair.RegionName, listed map[azurestair.RegionName]bool) {
	if !d.has(path) && !listed[r] {
		d.add(path, "is %q; allowed is the name of a listed region", r)
	}
}
