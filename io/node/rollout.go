package node

import (
	"tanagerchute/io/gate"
	"tanagerchute/io/ledger"
	"tanagerchute/io/proxy"
	"tanagerchute/io/stage"
)

// rolloutConfig returns the configuration of the roll-outs at this node.
func (n *Node) rolloutConfig() stage.Config {
	s := n.cfg.Settings
	cfg := stage.Config{
		Settings: s.Rollout, Service: s.Service, Store: n.cfg.Store, Format: n.cfg.RolloutFormat, Prefix: ledger.RolloutFormat{Deployment: s.Deployment}.Prefix(),
		Fleet: n.fleet, Client: n.client, Journal: n.journal, IsReader: func() bool { return n.feed.IsReader() },
		CallsInProgress: n.callsAtBackend, HasService: n.hasService,
	}
	if cfg.Format == nil {
		cfg.Format = ledger.RolloutFormat{Deployment: s.Deployment}
	}
	return cfg
}

// callsAtBackend returns the number of calls in progress at the node's backend server,
// with those that wait for it.
func (n *Node) callsAtBackend() int {
	l := n.gate.Load()
	return l.InFlight + l.Queued
}

// hasService reports whether a service is in the version in force.
func (n *Node) hasService(name string) bool {
	v := n.feed.Snapshot()
	if v == nil {
		return false
	}
	_, ok := v.Table.Service(name)
	return ok
}

// gateRollouts returns the roll-outs for the gatekeeper, or a nil interface if there are
// none.
func (n *Node) gateRollouts() gate.Rollouts {
	if !n.rollouts.Enabled() {
		return nil
	}
	return n.rollouts
}

// proxyRollouts returns the roll-outs for the proxy, or a nil interface if there are none.
func (n *Node) proxyRollouts() proxy.Rollouts {
	if !n.rollouts.Enabled() {
		return nil
	}
	return n.rollouts
}
