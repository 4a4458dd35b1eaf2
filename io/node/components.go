package node

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tanagerchute"
	"tanagerchute/core/acct"
	"tanagerchute/core/member"
	"tanagerchute/core/tokens"
	"tanagerchute/core/vers"
	"tanagerchute/io/feed"
	"tanagerchute/io/fleet"
	"tanagerchute/io/gate"
	"tanagerchute/io/ledger"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
	"tanagerchute/io/proxy"
	"tanagerchute/io/quotas"
	"tanagerchute/io/relay"
	"tanagerchute/io/seeds"
	"tanagerchute/io/stage"
)

// deploymentID returns the identifier that all nodes of the deployment share. It
// includes the data centres, or the regions if there are any, because nodes
// whose settings differ in them would choose different homes for a key.
func (n *Node) deploymentID() string {
	centres := slices.Sorted(slices.Values(n.cfg.Settings.Groups()))
	return n.cfg.Settings.Deployment + "/" + strings.Join(centres, ",")
}

// newRand returns a random source. salt distinguishes the sources of one node.
func (n *Node) newRand(salt string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(n.id + salt))
	return rand.New(rand.NewPCG(h.Sum64(), uint64(time.Now().UnixNano())))
}

// buildComponents creates the components of the node. now is its start time.
func (n *Node) buildComponents(now time.Time) {
	s := n.cfg.Settings
	self := member.Record{
		ID: n.id, Addr: s.Listen.PeerAddr(), DataCentre: s.DataCentre, Region: s.Region, Service: s.Service,
		Incarnation: 1, StartMs: now.UnixMilli(), LinkRate: s.Link.BytesPerSecond(),
	}
	n.census = n.newCensus(self)
	self.Counted = s.FirstStart || n.cfg.Store == nil
	n.memory = n.newMemory()
	n.taken.room = n.memory
	n.client = peer.NewClient(peer.Config{
		Deployment: n.deploymentID(),
		Dial:       n.byteMeters.control.Dial(n.cfg.WrapDial(link.Direct), n.isRemoteAddr),
	})
	n.fleet = fleet.New(fleet.Config{
		Self: self, Groups: s.Groups(), QuorumAddrs: s.Seeds[s.Group()], Client: n.client, Journal: n.journal, Rand: n.newRand("fleet"),
		Stamp:       func() vers.Stamp { return n.feed.Stamp() },
		OnPeerStamp: func(addr string, s vers.Stamp) { n.feed.ObserveStamp(addr, s) },
		Proof:       func() (vers.Stamp, time.Duration) { return n.feed.Proof() },
		OnPeerProof: func(s vers.Stamp, age time.Duration, sentAt time.Time) { n.feed.ObserveProof(s, age, sentAt) },
	})
	n.leaves = n.newLeaves()
	n.buildSeedsAndFeed()
	n.rollouts = stage.New(n.rolloutConfig())
	n.gate = gate.New(gate.Config{
		Node: n.id, Journal: n.journal, MaxAnswerBytes: s.Limits.AnswerBytes, Memory: n.memory, MaxConns: n.maxConns,
		SpendRetry: func() bool { return n.proxy.SpendRetry(s.Service) },
		Service:    s.Service, Dialect: n.cfg.Dialect, NoProbe: s.TrustHeartbeats, NestedCallsUntraced: s.LocalCallers,
		Crashes:          n.fleet.Crashes(),
		Rollouts:         n.gateRollouts(),
		OnUpstreamChange: func(u member.Upstream) { n.fleet.SetUpstream(context.Background(), u) },
	})
	n.relay = relay.New(relay.Config{
		DataCentre: s.Group(), DataCentres: s.Groups(), Seeds: s.Seeds,
		Fleet: n.fleet, Feed: n.feed, Client: n.client, Journal: n.journal,
	})
	n.buildQuotas()
	n.proxy = proxy.New(proxy.Config{
		Node: n.id, DataCentre: s.Group(), DataCentres: s.Groups(), Deployment: n.deploymentID(), Dialect: n.cfg.Dialect,
		Fleet: n.fleet, Feed: n.feed, Gate: n.gate, Client: n.client, Journal: n.journal,
		WrapDial: func(d link.Dial) link.Dial { return n.byteMeters.calls.Dial(n.cfg.WrapDial(d), n.isRemoteAddr) },
		Tracer:   n.tracer.Tracer(), Claims: n.proxyClaims(), Rand: n.newRand("proxy"),
		MaxBodyBytes: s.Limits.RequestBytes, MaxAnswerBytes: s.Limits.AnswerBytes, Memory: n.memory,
		NestedCallsUntraced: s.LocalCallers, KeysUnused: s.KeysUnused, Retry: retryLimits(s),
		Quotas: n.quotas, LinkRate: s.Link.BytesPerSecond(), LocalCallers: s.LocalCallers,
		Hedge: s.Hedge != nil && *s.Hedge, Policy: n.cfg.Policy, Rollouts: n.proxyRollouts(), OnCall: n.recordCall, OnAttempt: n.recordAttempt,
	})
}

// buildQuotas creates the quotas of client accounts, if the settings have bounds for
// them.
func (n *Node) buildQuotas() {
	s := n.cfg.Settings
	if s.Quota.Window <= 0 {
		return
	}
	n.quotas = quotas.New(quotas.Config{
		Self:   n.id,
		Bounds: tokens.Bounds{Window: s.Quota.Window.Std(), Overshoot: s.Quota.Overshoot, Slack: s.Quota.Slack},
		Groups: len(s.Groups()), Addrs: s.Seeds[s.Group()],
		View: n.fleet.View, Quota: n.accountQuota, Client: n.client, Journal: n.journal, Count: n.metrics.CountQuota,
	})
}

// accountQuota returns the quota of a client account by the version in force. An account
// that does not exist has none.
func (n *Node) accountQuota(account string) acct.Quota {
	v := n.feed.Snapshot()
	if v == nil || v.Table.Accounts() == nil {
		return acct.Quota{}
	}
	a, ok := v.Table.Accounts().Account(account)
	if !ok {
		return acct.Quota{}
	}
	return a.Quota
}

// maxConns returns the maximum number of connections to the node's backend server.
// The version in force takes precedence over the settings. It returns 0 if
// neither sets a maximum.
func (n *Node) maxConns() int {
	s := n.cfg.Settings
	if v := n.feed.Snapshot(); v != nil {
		if service, _ := v.Table.Service(s.Service); service.MaxConns > 0 {
			return service.MaxConns
		}
	}
	return s.Limits.Connections
}

// buildSeedsAndFeed creates the feed, and the seeds if there is a store.
func (n *Node) buildSeedsAndFeed() {
	s := n.cfg.Settings
	source, trackerConfig := n.cfg.Source, n.cfg.TrackerConfig
	if source == nil {
		trackerConfig = vers.DocumentConfig(s.Deployment)
	}
	if n.cfg.Store != nil {
		n.cfg.Store.OnEraVerdict(n.observeEra)
		ledgerConfig := ledger.Config{Store: n.cfg.Store, Deployment: s.Deployment}
		if source == nil {
			source = ledger.New(ledgerConfig)
		}
		n.claims = ledger.NewClaims(ledgerConfig)
		n.seeds = seeds.New(seeds.Config{
			Store: n.cfg.Store, Deployment: s.Deployment, Fleet: n.fleet, Claims: n.claims,
			OnSeeds: n.setSeeds, Watching: func() bool { return n.feed.IsReader() && !n.feed.StoreLost() },
		})
	}
	n.feed = feed.New(feed.Config{
		Self: n.id, TrackerConfig: trackerConfig, Source: source, Fleet: n.fleet, Client: n.client,
		Journal: n.journal, Rand: n.newRand("feed"), Mode: n.cfg.Mode, OnChecked: func(r tanagerchute.Revision) { n.rollouts.CheckOrders(r) },
		InForceWithin: s.Versions.InForceWithin.Std(), RevokeWithin: s.Keys.RevokeWithin.Std(),
	})
}

// proxyClaims returns the claims for opaque idempotency keys, or a nil interface
// if there is no store.
func (n *Node) proxyClaims() proxy.Claims {
	if n.claims == nil {
		return nil
	}
	return n.claims
}

// setSeeds passes the seed addresses by data centre, as read from the store, to
// the relay, and records which of them are in another data centre.
func (n *Node) setSeeds(seeds map[string][]string) {
	n.relay.SetSeeds(seeds)
	remote := map[string]bool{}
	for centre, addrs := range seeds {
		for _, a := range addrs {
			remote[a] = centre != n.cfg.Settings.Group()
		}
	}
	n.remoteBySeedAddr.Store(&remote)
}

// isRemoteAddr reports whether addr is in another data centre. It is true for
// an unknown address.
func (n *Node) isRemoteAddr(addr string) bool {
	for _, m := range n.fleet.View().Members {
		if m.Addr == addr {
			return m.DataCentre != n.cfg.Settings.DataCentre
		}
	}
	if m := n.remoteBySeedAddr.Load(); m != nil {
		if remote, ok := (*m)[addr]; ok {
			return remote
		}
	}
	return !slices.Contains(n.cfg.Settings.Seeds[n.cfg.Settings.Group()], addr)
}
