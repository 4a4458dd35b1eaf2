package stage

import (
	"context"
	"time"

	"tanagerchute/core/canary"
	"tanagerchute/core/member"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// listRequest asks a node for all stages that it knows.
var listRequest = &wire.ListStagesRequest{}

var _ wire.Rollouts = (*Manager)(nil)

// buildReport returns the report of this node in stage s. The caller holds mu.
func (m *Manager) buildReport(s canary.Stage) *wire.ReportTallyRequest {
	req := &wire.ReportTallyRequest{From: m.cfg.Fleet.View().Self.ID, Stage: peer.ToStage(s), Quiet: true, SinceNs: m.tallySince.UnixNano()}
	if s.Service != m.cfg.Service {
		return req
	}
	tallies := make([]*canary.Tally, 0, len(m.tallies))
	for _, t := range m.tallies {
		tallies = append(tallies, t)
	}
	req.Tallies = peer.ToTallies(tallies)
	req.Quiet = m.isQuiet(s)
	return req
}

// isQuiet reports whether this node's server has another version than the old one of s, or
// gets no calls any more. A node without a server has no version.
func (m *Manager) isQuiet(s canary.Stage) bool {
	self := m.cfg.Fleet.View().Self
	switch {
	case self.ServerVersion == s.Target:
		return true
	case self.ServerVersion != s.Baseline, self.ServerVersion == "" && !self.Ready:
		return m.cfg.CallsInProgress() == 0
	}
	return m.Refuses(self.ServerVersion) && m.cfg.CallsInProgress() == 0 // in this order: no call comes after the refusal
}

// sendReport sends a report to the holder and takes its reply.
func (m *Manager) sendReport(ctx context.Context, holder string, req *wire.ReportTallyRequest) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := m.cfg.Client.RolloutsOf(holder).ReportTally(ctx, req)
	if err != nil || reply.GetStage() == nil {
		return // the next report repeats it
	}
	m.learn(sentAt, peer.FromStages([]*wire.RolloutStage{reply.GetStage()}), reply.GetConfirmed())
}

// ReportTally implements wire.Rollouts.
func (m *Manager) ReportTally(_ context.Context, req *wire.ReportTallyRequest) (*wire.ReportTallyReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.takeReport(time.Now(), req), nil
}

// takeReport passes a report to the roll-out, if this node is its holder. The caller holds
// mu.
func (m *Manager) takeReport(now time.Time, req *wire.ReportTallyRequest) *wire.ReportTallyReply {
	theirs := peer.FromStage(req.GetStage())
	h := m.holds[theirs.Service]
	if h == nil || h.rollout == nil || !now.Before(h.claimedUntil) {
		s, ok := m.table.Stage(theirs.Service)
		if !ok {
			return &wire.ReportTallyReply{}
		}
		return &wire.ReportTallyReply{Stage: peer.ToStage(s)}
	}
	h.takeReport(now, theirs, req)
	s := h.rollout.Stage()
	if req.GetFrom() == m.cfg.Fleet.View().Self.ID {
		m.table.Confirm(s, now.Add(m.confirmedFor(s.Phase)))
	}
	return &wire.ReportTallyReply{Stage: peer.ToStage(s), Confirmed: true}
}

// ListStages implements wire.Rollouts.
func (m *Manager) ListStages(context.Context, *wire.ListStagesRequest) (*wire.ListStagesReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &wire.ListStagesReply{Stages: peer.ToStages(m.table.Stages())}, nil
}

// AnnounceStages implements wire.Rollouts.
func (m *Manager) AnnounceStages(ctx context.Context, req *wire.AnnounceStagesRequest) (*wire.AnnounceStagesReply, error) {
	m.learn(time.Now(), peer.FromStages(req.GetStages()), true)
	if req.GetForward() {
		detached := context.WithoutCancel(ctx)
		go m.announce(detached, m.others(), &wire.AnnounceStagesRequest{Stages: req.GetStages()})
	}
	return &wire.AnnounceStagesReply{}, nil
}

// announce sends stages to nodes. What does not arrive is sent again by the holder, until
// the node has reported.
func (m *Manager) announce(ctx context.Context, to []member.Record, req *wire.AnnounceStagesRequest) {
	for _, r := range to {
		m.slots <- struct{}{}
		go func() {
			defer func() { <-m.slots }()
			ctx, cancel := context.WithTimeout(ctx, messageTimeout)
			defer cancel()
			_, _ = m.cfg.Client.RolloutsOf(r.Addr).AnnounceStages(ctx, req) // see above
		}()
	}
}
