package mesh

import (
	"tanagerchute/core/vers"
	"tanagerchute/io/admin"
)

// adminClient returns a client of the admin interface of the instance's node.
func (in *Instance) adminClient() admin.Client {
	return admin.Client{Addr: in.Settings.Listen.Admin}
}

// lookupNone is a tanagerchute.VersionLookup that finds no version.
func lookupNone(string) (vers.Version, bool) { return vers.Version{}, false }
