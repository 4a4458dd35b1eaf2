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

// nodeFlags holds the flags of commands that use the admin interface of a node.
type nodeFlags struct {
	node string
}

// register registers the flags with f.
func (n *nodeFlags) register(f *flag.FlagSet) {
	f.StringVar(&n.node, "node", "127.0.0.1:9101", "admin `address` of any node")
}

func (n *nodeFlags) adminClient() admin.Client { return admin.Client{Addr: n.node} }

// statusPollInterval is the pause between two status requests while waiting for a
// version to come into force.
const statusPollInterval = 100 * time.Millisecond

// awaitInForce waits until a version is in force at all nodes, which means that they
// apply it to calls. It prints a line for each data centre when the version is in
// force there. If ctx ends before that, the error names the nodes that lack the
// version.
func (n *nodeFlags) awaitInForce(ctx context.Context, number uint64) error {
	started := time.Now()
	printed := map[string]bool{}
	var last admin.Status
	for {
		s, err := n.adminClient().Status(ctx, admin.ScopeFleet)
		if err == nil {
			last = s
			if printInForce(s, number, printed, time.Since(started)) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return notInForceError(last, number, err)
		case <-time.After(statusPollInterval):
		}
	}
}

// printInForce prints the data centres in which a version has come into force, but
// not those in printed, and adds them to it. It reports whether the version is
// in force at all nodes.
func printInForce(s admin.Status, number uint64, printed map[string]bool, elapsed time.Duration) bool {
	behind := map[string]int{}
	total := map[string]int{}
	for _, node := range s.Nodes {
		total[node.DataCentre]++
		if node.Version < number {
			behind[node.DataCentre]++
		}
	}
	everywhere := len(s.Nodes) > 0 && len(s.Silent) == 0
	for _, centre := range slices.Sorted(maps.Keys(total)) {
		if behind[centre] > 0 {
			everywhere = false
			continue
		}
		if !printed[centre] {
			printed[centre] = true
			fmt.Printf("version %d is in force in %s at %d nodes after %v\n", number, centre, total[centre], elapsed.Round(time.Millisecond))
		}
	}
	return everywhere
}

// notInForceError returns an error that names the nodes that lack a version or do
// not answer. The last status request failed with err, if that is not nil.
func notInForceError(s admin.Status, number uint64, err error) error {
	var names []string
	for _, node := range s.Nodes {
		if node.Version >= number {
			continue
		}
		name := fmt.Sprintf("%s has version %d", node.ID, node.Version)
		if node.Refused != "" {
			name += " (refused: " + node.Refused + ")"
		}
		names = append(names, name)
	}
	for _, silent := range s.Silent {
		names = append(names, silent+" does not answer")
	}
	if len(names) == 0 && err != nil {
		return errors.Wrap(err, "the version was accepted, but no node could be asked whether it is in force")
	}
	return errors.Errorf("the version was accepted, but is not in force everywhere:\n%s", strings.Join(names, "\n"))
}
