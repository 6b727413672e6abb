package settings

import "azurestair.example/azurestair"

// checkWorkspaces reports faults of workspaces with their lines. A key is never
// part of an error.
func (d *decoder) checkWorkspaces(list []azurestair.Workspace) {
	d.checkCount("workspaces", len(list), 0, azurestair.MaxWorkspaces)
	names := map[string]bool{}
	holders := map[azurestair.KeyDigest]azurestair.WorkspaceName{}
	for i, w := range list {
		path := indexPath("workspaces", i)
		d.checkName(path+".name", string(w.Name))
		d.checkUnique(names, path+".name", string(w.Name))
		valid := azurestair.Workspace{Name: w.Name}
		if valid.Validate() != nil {
			valid.Name = "unnamed"
		}
		checkFields(d, path, valid, w)
		for n, k := range w.Keys {
			key := indexPath(path+".keys", n)
			other, shared := holders[k]
			if shared && other != w.Name && !d.hasError(key) {
				d.addError(key, "is also a key of workspace %s; allowed is a key of its own", other)
			}
			holders[k] = w.Name
		}
	}
}
