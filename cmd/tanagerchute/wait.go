package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/io/admin"
)

// nodeFlags are the flags of commands that talk to a node.
type nodeFlags struct {
	node string
}

func (n *nodeFlags) set(f *flag.FlagSet) {
	f.StringVar(&n.node, "node", "127.0.0.1:9101", "admin `address` of any node")
}

func (n *nodeFlags) client() admin.Client { return admin.Client{Addr: n.node} }

// waitEvery is the pause between questions about a version.
const waitEvery = 100 * time.Millisecond

// awaitInForce waits until a version is in force at every node and prints each
// data centre when it is. If the time runs out it names the stragglers.
func (n *nodeFlags) awaitInForce(ctx context.Context, number uint64) error {
	began := time.Now()
	told := map[string]bool{}
	var last admin.Status
	for {
		s, err := n.client().Status(ctx, admin.ScopeFleet)
		if err == nil {
			last = s
			if announceInForce(s, number, told, time.Since(began)) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return stragglers(last, number, err)
		case <-time.After(waitEvery):
		}
	}
}

// announceInForce prints the data centres in which a version has come into
// force, and reports whether that is everywhere.
func announceInForce(s admin.Status, number uint64, told map[string]bool, took time.Duration) bool {
	behind := map[string]int{}
	size := map[string]int{}
	for _, x := range s.Nodes {
		size[x.DataCentre]++
		if x.Version < number {
			behind[x.DataCentre]++
		}
	}
	all := len(s.Nodes) > 0 && len(s.Silent) == 0
	for _, centre := range slices.Sorted(maps.Keys(size)) {
		if behind[centre] > 0 {
			all = false
			continue
		}
		if !told[centre] {
			told[centre] = true
			fmt.Printf("version %d is in force in %s at %d nodes after %v\n", number, centre, size[centre], took.Round(time.Millisecond))
		}
	}
	return all
}

// stragglers returns an error that names the nodes that lack a version.
func stragglers(s admin.Status, number uint64, err error) error {
	var names []string
	for _, x := range s.Nodes {
		if x.Version >= number {
			continue
		}
		name := fmt.Sprintf("%s has version %d", x.ID, x.Version)
		if x.Refused != "" {
			name += " (refused: " + x.Refused + ")"
		}
		names = append(names, name)
	}
	for _, silent := range s.Silent {
		names = append(names, silent+" does not answer")
	}
	if len(names) == 0 && err != nil {
		return errors.Wrap(err, "the version was accepted, but it can't be seen where it is in force")
	}
	return errors.Errorf("the version was accepted, but is not in force everywhere:\n%s", strings.Join(names, "\n"))
}
