package gate

import (
	"time"

	"tanagerchute/core/pick"
)

// Load returns the load of the backend server. It is attached to each reply.
func (g *Gate) Load() pick.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

// load returns the load of the backend server. The caller holds mu.
func (g *Gate) load() pick.Load {
	l := pick.Load{InFlight: g.admission.InFlight(), Queued: g.admission.Queued(), Limit: g.admission.Limit(), ServiceTime: g.admission.ServiceTime()}
	if rate, limited := g.admission.Quota().Rate(); limited {
		l.RateLimit, l.QuotaWait = rate, g.admission.QuotaWait(time.Now())
	}
	return l
}
