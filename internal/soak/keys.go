package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tanagerchute/io/native"
)

const (
	revokeWithin  = 2 * time.Second // setting keys.revoke_within of the nodes
	keyVersions   = 5               // a key is in so many versions, up to that of its own number
	withdrawnKeys = 3               // keys withdrawn last that callers still send
	keyShare      = 0.4             // of the calls carry a key
	keyPrefix     = "lykill-"
)

// accountNames are the names of the client accounts.
var accountNames = []string{"stofa", "hagstofa"}

// accountKey returns a key by its number. Versions number-keyVersions+1 to number have it.
func accountKey(number uint64) string { return fmt.Sprint(keyPrefix, number) }

// accountOf returns the account that holds a key.
func accountOf(number uint64) string { return accountNames[number%uint64(len(accountNames))] }

// accountKey returns the number of the key for a call, 0 for none. It may have been
// withdrawn.
func (c *caller) accountKey() uint64 {
	n := c.rng.IntN(withdrawnKeys + keyVersions)
	if c.rng.Float64() > keyShare {
		return 0
	}
	return uint64(max(1, int(c.load.newest())+n-withdrawnKeys))
}

// ackedFrom returns when the operator was told of the first version from the given one
// on, zero if it was not.
func (e *Evidence) ackedFrom(version uint64) time.Time {
	for _, v := range e.Versions {
		if v.Number >= version {
			return v.Acked
		}
	}
	return time.Time{}
}

// keyInForce reports whether all nodes that work must serve the account key of a call:
// it was added long enough before, and the version that withdraws it was not yet sent.
func (e *Evidence) keyInForce(x *Call) bool {
	added := e.ackedFrom(max(x.AccountKey, keyVersions) - keyVersions + 1)
	last := e.ackedFrom(x.AccountKey) // the operator sends the next version after this
	return !added.IsZero() && x.Sent.After(added.Add(versionBound)) && (last.IsZero() || x.Got.Before(last))
}

// checkKeys checks what ran of the calls with and without the key of an account.
func (r *Result) checkKeys(e *Evidence) {
	for _, x := range e.Calls {
		runs := e.Runs[x.Key]
		sent := x.Sent
		if x.Class.keyed {
			sent = x.First // the work may have been started by an earlier call for it
		}
		withdrawn := e.ackedFrom(x.AccountKey + 1)
		if x.AccountKey > 0 && !withdrawn.IsZero() && sent.After(withdrawn.Add(revokeWithin)) {
			r.check(Revoked, len(runs) == 0, "%v, withdrawn at %s: %v", x, clock(withdrawn), describeRuns(runs))
		}
		for _, run := range runs {
			r.checkRunAccount(x, run)
		}
	}
}

// checkRunAccount checks what a server was told about the account of a call.
func (r *Result) checkRunAccount(x *Call, run Run) {
	var want []string
	if x.AccountKey > 0 {
		want = []string{accountOf(x.AccountKey)}
	}
	got := run.Header.Values(native.HeaderAccount)
	r.check(Account, slices.Equal(got, want), "%v: node %d named %q, want %q", x, run.Node, got, want)
	r.check(NoKey, !holdsKey(run), "%v: node %d passed on %v", x, run.Node, run.Header)
}

// holdsKey reports whether what a server received in the head of a call holds a key.
func holdsKey(run Run) bool {
	if run.Header.Get(native.HeaderCredential) != "" || strings.Contains(run.Target, keyPrefix) {
		return true
	}
	return slices.ContainsFunc(valuesOf(run.Header), func(v string) bool { return strings.Contains(v, keyPrefix) })
}

// valuesOf returns the values of all fields of a header.
func valuesOf(h http.Header) []string {
	var out []string
	for _, values := range h {
		out = append(out, values...)
	}
	return out
}
