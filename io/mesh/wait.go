package mesh

import (
	"context"
	"time"
)

// WaitVersion waits until a version with at least the given number is in force at
// all nodes.
func (m *Mesh) WaitVersion(ctx context.Context, number uint64) error {
	return m.waitAll(ctx, func(in *Instance) bool { return in.Node.Stamp().Number >= number })
}

// WaitReady waits until all nodes serve calls, see all members of their data
// centre, and can reach the other data centres.
func (m *Mesh) WaitReady(ctx context.Context) error {
	counts := map[string]int{}
	for _, in := range m.Instances {
		counts[in.Spec.DataCentre]++
	}
	return m.waitAll(ctx, func(in *Instance) bool {
		return in.Node.Serving() && m.seesAll(in, counts)
	})
}

// seesAll reports whether a node sees all members of its data centre as up and
// accepting calls, and can reach all other data centres. counts holds the number
// of instances in each data centre. With NoBackends no member accepts calls, so
// that is not checked.
func (m *Mesh) seesAll(in *Instance, counts map[string]int) bool {
	view := in.Node.View()
	if len(view.UpIDs()) < counts[in.Spec.DataCentre] || len(view.Remote.Reachable) < len(m.dataCentres)-1 {
		return false
	}
	if m.cfg.NoBackends {
		return true
	}
	ready := 0
	for _, r := range view.Members {
		if r.AcceptsCalls() {
			ready++
		}
	}
	return ready >= counts[in.Spec.DataCentre]
}

// waitAll waits until cond is true for all instances.
func (m *Mesh) waitAll(ctx context.Context, cond func(*Instance) bool) error {
	for {
		all := true
		for _, in := range m.Instances {
			all = all && cond(in)
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}
