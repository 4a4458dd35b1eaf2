package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/event"
	"tanagerchute/core/homes"
	"tanagerchute/core/member"
	"tanagerchute/core/vers"
	"tanagerchute/io/fleet"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// keyWithHome returns a key that has the given home among members.
func keyWithHome(home string, members ...string) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if homes.Current(key, append(members, home)) == home {
			return key
		}
	}
}

// TestStartedNodeNamesNoLongDeadHome guards against keys that are refused for seconds after
// a node has started, because it takes members that had died long before for homes that
// were removed just now. One that it learns of as dead while it can be a home itself has
// to be named.
func TestStartedNodeNamesNoLongDeadHome(t *testing.T) {
	is := is.New(t)
	f := fleet.New(fleet.Config{
		Self: member.Record{ID: "self", Incarnation: 1}, Client: peer.NewClient(peer.Config{Deployment: "test", Dial: link.Direct}),
		Journal: event.NewJournal(event.Config{}), Rand: rand.New(rand.NewPCG(1, 2)),
		Stamp: func() vers.Stamp { return vers.Stamp{} }, OnPeerStamp: func(string, vers.Stamp) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	learnDead := func(id string) {
		record := &wire.Member{Id: id, Addr: id + ":1", Incarnation: 3, State: int32(member.Dead), Keeper: true}
		_, err := f.Gossip(ctx, &wire.GossipRequest{From: "seed", Members: []*wire.Member{record}})
		is.NoErr(err)
	}
	learnDead("long-dead")
	f.BecomeHomeCandidate(ctx)
	learnDead("just-dead")
	for id, want := range map[string]bool{"long-dead": false, "just-dead": true} {
		former, ok := f.FormerHomes(keyWithHome(id, "self"), time.Now(), "")
		is.True(ok)
		is.True(!former.Anchor) // members of longer tenure are asked
		if named := slices.Contains(former.Removed, id); named != want {
			t.Errorf("%s is named as a former home: %v, want %v", id, named, want)
		}
	}
}
