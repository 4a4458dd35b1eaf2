package peer

import (
	"tanagerchute/core/canary"
	"tanagerchute/io/wire"
)

// ToStage converts a stage to its wire format.
func ToStage(s canary.Stage) *wire.RolloutStage {
	return &wire.RolloutStage{
		Era: s.Order.Era, Revision: s.Order.Revision, Service: s.Service, Target: s.Target, Baseline: s.Baseline,
		Step: s.Step, Phase: int32(s.Phase), Share: s.Share, Servers: int32(s.Servers), Reason: s.Reason, Holder: s.Holder,
	}
}

// FromStage converts a stage from its wire format. It does not validate it.
func FromStage(w *wire.RolloutStage) canary.Stage {
	return canary.Stage{
		Order:   canary.OrderID{Era: w.GetEra(), Revision: w.GetRevision()},
		Service: w.GetService(), Target: w.GetTarget(), Baseline: w.GetBaseline(),
		Step: w.GetStep(), Phase: canary.Phase(w.GetPhase()), Share: w.GetShare(), Servers: int(w.GetServers()),
		Reason: w.GetReason(), Holder: w.GetHolder(),
	}
}

// ToStages converts stages to their wire format.
func ToStages(ss []canary.Stage) []*wire.RolloutStage { return convertAll(ss, ToStage) }

// FromStages converts stages from their wire format. It leaves out invalid ones.
func FromStages(ws []*wire.RolloutStage) []canary.Stage {
	var out []canary.Stage
	for _, s := range convertAll(ws, FromStage) {
		if s.Validate() {
			out = append(out, s)
		}
	}
	return out
}

// ToTallies converts tallies to their wire format.
func ToTallies(ts []*canary.Tally) []*wire.VersionTally {
	return convertAll(ts, func(t *canary.Tally) *wire.VersionTally {
		w := &wire.VersionTally{Version: t.Version}
		for route, c := range t.Routes {
			w.Routes = append(w.Routes, &wire.RouteTally{Route: route, Calls: uint32(c.Calls), Failures: uint32(c.Failures), Times: trimTimes(c.Times)})
		}
		return w
	})
}

// trimTimes returns the buckets of h without the empty ones at the end.
func trimTimes(h canary.Histogram) []uint32 {
	n := len(h)
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return h[:n:n]
}

// FromTallies converts tallies from their wire format.
func FromTallies(ws []*wire.VersionTally) []*canary.Tally {
	return convertAll(ws, func(w *wire.VersionTally) *canary.Tally {
		t := canary.NewTally(w.GetVersion())
		for _, r := range w.GetRoutes() {
			c := canary.RouteCounts{Calls: int(r.GetCalls()), Failures: int(r.GetFailures())}
			copy(c.Times[:], r.GetTimes())
			t.Routes[r.GetRoute()] = c
		}
		return t
	})
}
