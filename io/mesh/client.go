package mesh

import (
	"tanagerchute/core/vers"
	"tanagerchute/io/admin"
)

// admin returns a client of the instance's admin interface.
func (in *Instance) adminClient() admin.Client {
	return admin.Client{Addr: in.Settings.Listen.Admin}
}

func lookupNone(string) (vers.Version, bool) { return vers.Version{}, false }
