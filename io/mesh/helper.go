package mesh

import (
	"tanagerchute/core/vers"
	"tanagerchute/io/admin"
)

// admin returns a client of the instance's admin interface.
func (in *Instance) admin() admin.Client {
	return admin.Client{Addr: in.Settings.Listen.Admin}
}

func noBase(string) (vers.Version, bool) { return vers.Version{}, false }
