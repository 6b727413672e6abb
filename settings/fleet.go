package settings

import (
	"reflect"

	"azurestair.example/azurestair"
)

// ParseFleet parses the content of a fleet configuration file; name is the file
// name used in errors.
func ParseFleet(name string, data []byte) (azurestair.Config, error) {
	var c azurestair.Config
	d, err := decode(name, data, &c)
	if err != nil {
		return azurestair.Config{}, err
	}
	d.checkFleet(&c)
	if len(d.errs) == 0 {
		// The checks above find most errors and give their lines. Validate
		// decides, because the control instances apply it as well.
		d.addValidationError("", c.Validate())
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
		d.checkService(indexPath("services", i), s, names)
	}
	d.checkRegions(c.Regions)
	d.checkLinks(c)
	d.checkWorkspaces(c.Workspaces)
	valid := azurestair.Exception{
		Target:  azurestair.Target{Kind: azurestair.TargetUpstream, Name: "name"},
		Setting: azurestair.SettingWeight,
		Reason:  "reason",
	}
	for i, e := range c.Exceptions {
		checkFields(d, indexPath("exceptions", i), valid, e)
	}
}

// checkFields reports the fields of got that fail T's Validate. It copies each
// field separately into a valid value, so that an error can be attributed to
// one key.
func checkFields[T azurestair.Validator](d *decoder, path string, valid, got T) {
	fields := reflect.ValueOf(got)
	for i := range fields.NumField() {
		key := joinPath(path, tomlTag(fields.Type().Field(i)))
		if d.hasError(key) {
			continue
		}
		candidate := valid
		reflect.ValueOf(&candidate).Elem().Field(i).Set(fields.Field(i))
		d.addValidationError(key, candidate.Validate())
	}
	if !d.hasError(path) {
		d.addValidationError(path, got.Validate())
	}
}

func (d *decoder) checkCount(path string, n, minCount, maxCount int) {
	if !d.hasError(path) && (n < minCount || n > maxCount) {
		d.addError(path, "has %d elements; allowed are %d to %d", n, minCount, maxCount)
	}
}

func (d *decoder) checkService(path string, s azurestair.Service, names map[string]bool) {
	d.checkName(path+".name", string(s.Name))
	d.checkUnique(names, path+".name", string(s.Name))
	d.checkCount(path+".operations", len(s.Operations), 1, azurestair.MaxOperations)
	seen := map[string]bool{}
	for i, o := range s.Operations {
		op := indexPath(path+".operations", i)
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
		path := indexPath("regions", i)
		d.checkName(path+".name", string(r.Name))
		d.checkUnique(names, path+".name", string(r.Name))
		for n, f := range r.FailureDomains {
			key := indexPath(path+".failureDomains", n)
			d.checkName(key, string(f))
			d.checkUnique(domains, key, string(f))
		}
	}
	if len(domains) > azurestair.MaxFailureDomains {
		d.addError("regions", "have %d failure domains; allowed are at most %d", len(domains), azurestair.MaxFailureDomains)
	}
}

func (d *decoder) checkLinks(c *azurestair.Config) {
	listed := map[azurestair.RegionName]bool{}
	for _, r := range c.Regions {
		listed[r.Name] = true
	}
	seen := map[[2]azurestair.RegionName]bool{}
	for i, l := range c.Links {
		path := indexPath("links", i)
		d.checkLinkEnd(path+".from", l.From, listed)
		d.checkLinkEnd(path+".to", l.To, listed)
		ends := [2]azurestair.RegionName{l.From, l.To}
		if l.From == l.To && !d.hasError(path) {
			d.addError(path+".to", "is the same region as from; allowed is another region")
		}
		if seen[ends] && !d.hasError(path) {
			d.addError(path, "link from %s to %s is listed twice; allowed is once for each direction", l.From, l.To)
		}
		seen[ends] = true
		if key := path + ".limitBytesPerSecond"; l.Limit < 1 && !d.hasError(key) {
			d.addError(key, "is %d; allowed is at least 1", l.Limit)
		}
	}
}

func (d *decoder) checkLinkEnd(path string, r azurestair.RegionName, listed map[azurestair.RegionName]bool) {
	if !d.hasError(path) && !listed[r] {
		d.addError(path, "is %q; allowed is the name of a listed region", r)
	}
}
