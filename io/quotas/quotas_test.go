package quotas_test

import (
	"context"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/acct"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/tokens"
	"tanagerchute/io/fleet"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
	"tanagerchute/io/quotas"
	"tanagerchute/io/wire"
)

// node is one node of a test, with a server for its peers.
type node struct {
	*quotas.Quotas
	id      string
	server  *httptest.Server
	journal *event.Journal
	view    atomic.Pointer[fleet.View]
	counts  sync.Map // *atomic.Int64 by outcome
}

func (n *node) count(outcome string) {
	c, _ := n.counts.LoadOrStore(outcome, new(atomic.Int64))
	c.(*atomic.Int64).Add(1)
}

// startNodes starts nodes that know each other and have the given quota for every
// account, and waits until they give out tokens.
func startNodes(t *testing.T, ids []string, quota acct.Quota) []*node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var nodes []*node
	for _, id := range ids {
		n := &node{id: id, journal: event.NewJournal(event.Config{Node: id})}
		client := peer.NewClient(peer.Config{Deployment: "test", Dial: link.Direct})
		n.Quotas = quotas.New(quotas.Config{
			Self: id, Bounds: tokens.Bounds{Window: time.Second}, View: n.view.Load,
			Quota:  func(string) acct.Quota { return quota },
			Client: client, Journal: n.journal, Count: n.count,
		})
		n.server = httptest.NewUnstartedServer(nil)
		n.server.Config = peer.NewServer(wire.NewQuotasServer(n.Quotas))
		n.server.Start()
		t.Cleanup(n.server.Close)
		nodes = append(nodes, n)
	}
	setView(nodes)
	for _, n := range nodes {
		wg.Go(func() { n.Run(ctx) })
		n.Join()
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	time.Sleep(1700 * time.Millisecond) // the delay after the join, and a second to fill the bucket
	return nodes
}

// setView makes the nodes know exactly each other.
func setView(nodes []*node) {
	v := &fleet.View{}
	for _, n := range nodes {
		v.Members = append(v.Members, member.Record{ID: n.id, Addr: strings.TrimPrefix(n.server.URL, "http://"), State: member.Alive})
	}
	slices.SortFunc(v.Members, func(a, b member.Record) int { return strings.Compare(a.ID, b.ID) })
	for _, n := range nodes {
		n.view.Store(v)
	}
}

// keeper returns the node that keeps an account.
func keeper(t *testing.T, nodes []*node, account string) *node {
	t.Helper()
	for _, n := range nodes {
		if e, ok := n.Describe(account); ok {
			t.Log(e.Node, e.Kind, e.Cause)
			return n
		}
	}
	t.Fatalf("no node keeps %s", account)
	return nil
}

// admit sends requests of an account to the nodes in turn and returns how many were
// admitted, and the refusals.
func admit(nodes []*node, account string, requests int) (granted int, refusals []call.Reply) {
	for i := range requests {
		_, refusal := nodes[i%len(nodes)].Admit(context.Background(), account, time.Now().Add(50*time.Millisecond))
		if refusal == nil {
			granted++
		} else {
			refusals = append(refusals, *refusal)
		}
	}
	return granted, refusals
}

// TestNodesShareQuota checks that the requests at all nodes together use up one quota,
// and that the refusal of a request beyond it can be traced.
func TestNodesShareQuota(t *testing.T) {
	is := is.New(t)
	quota := acct.Quota{Rate: 4, Burst: 4}
	nodes := startNodes(t, []string{"a", "b", "c"}, quota)
	start := time.Now()
	granted, refusals := admit(nodes, "hafnar-ehf", 12)
	is.True(granted >= int(quota.Burst))
	is.True(float64(granted) <= quota.Burst+quota.Rate*time.Since(start).Seconds())
	is.True(len(refusals) > 0)
	for _, r := range refusals {
		is.Equal(r.Fate, call.NotRun)
		is.Equal(r.Cause, call.CauseQuotaExceeded)
		is.True(r.RetryAfter > 0)
	}
	k := keeper(t, nodes, "hafnar-ehf")
	is.Equal(len(k.journal.Find("hafnar-ehf")) > 0, true)
	var exceeded int
	for _, n := range nodes {
		for _, e := range n.journal.Find("hafnar-ehf") {
			if e.Kind == event.QuotaExceeded {
				is.True(strings.Contains(e.Cause, "keeper="+k.id))
				exceeded++
			}
		}
	}
	is.True(exceeded > 0)
}

// TestKeeperThatIsGone checks that a request whose keeper can't be reached is refused as
// not run and not as over the quota, and that the next keeper serves it.
func TestKeeperThatIsGone(t *testing.T) {
	is := is.New(t)
	nodes := startNodes(t, []string{"a", "b", "c"}, acct.Quota{Rate: 50, Burst: 50})
	granted, _ := admit(nodes, "hafnar-ehf", 3)
	is.Equal(granted, 3)
	k := keeper(t, nodes, "hafnar-ehf")
	others := slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n == k })
	k.server.CloseClientConnections()
	is.NoErr(k.server.Listener.(*net.TCPListener).Close())
	_, refusals := admit(others[:1], "hafnar-ehf", 20) // spends what the node holds
	is.True(len(refusals) > 0)
	is.Equal(refusals[len(refusals)-1].Cause, call.CauseQuotaUnknown)
	setView(others)
	time.Sleep(300 * time.Millisecond)
	granted, _ = admit(others, "hafnar-ehf", 2)
	is.Equal(granted, 2)
}
