package core_test

import (
	"testing"
	"time"
)

// newUnevenDeployment returns a deployment whose zones differ in capacity. The pages that the
// clients read are looked up in a ledger, which also takes payments: long calls beside short
// ones of the same priority.
func newUnevenDeployment(pol policy, seed uint64) *simulation {
	s := newSimulation(seed, pol, map[string]class{
		"page": {
			service: "pages", priority: 2, safe: true, target: 400 * time.Millisecond, deadline: 2500 * time.Millisecond,
			work: 120 * time.Millisecond, value: 1, lateValue: 0.3, maxRetries: 2, nested: "entry", nestedCalls: 2,
		},
		"payment": {
			service: "ledger", priority: 1, target: 500 * time.Millisecond, deadline: 3000 * time.Millisecond,
			work: 160 * time.Millisecond, value: 2, lateValue: 0.6, maxRetries: 2,
		},
		"entry": {service: "ledger", priority: 1, safe: true, target: 150 * time.Millisecond, deadline: 400 * time.Millisecond, work: 30 * time.Millisecond},
	})
	for i, speed := range []float64{1.5, 1, 1, 0.5} {
		s.addUpstreams("pages", []string{"a", "a", "b", "c"}[i], 1, speed)
	}
	for i, speed := range []float64{0.7, 1.6, 0.7} {
		s.addUpstreams("ledger", zones[i], 1, speed)
	}
	return s
}

// unevenOverload is a load in requests a second and zone, for which pages has 0.7 of the slots
// that it needs.
var unevenOverload = map[string]float64{"page": 110, "payment": 35}

// simulateUneven runs the deployment under unevenOverload.
func simulateUneven(pol policy, seed uint64, faults func(*simulation)) *simulation {
	s := newUnevenDeployment(pol, seed)
	for _, zone := range zones {
		for _, name := range []string{"page", "payment"} {
			s.generateTraffic(zone, name, scenarioLength, func(time.Duration) float64 { return unevenOverload[name] }, nil)
		}
	}
	if faults != nil {
		faults(s)
	}
	s.run(scenarioLength + 6*sec)
	return s
}

// TestShortCallsBesideLongOnes checks that short calls are not refused more often than the long
// ones of the same priority that fill the slots and the queue. They are nested calls, each of
// which throws away the work of a page if it is refused. One of three upstreams of the ledger is
// lost.
func TestShortCallsBesideLongOnes(t *testing.T) {
	const from, to = 8 * sec, 20 * sec
	for seed := range uint64(3) {
		s := simulateUneven(policy{}, seed+1, func(s *simulation) {
			s.after(4*sec, func() { s.forUpstreams("ledger", 1, s.stopResponding) })
		})
		payments := s.tally("payment", from, to)
		t.Logf("pages: %v; payments: %v", s.tally("page", from, to), payments)
		t.Logf("%d nested calls, %d refused; %d calls to another zone", s.nestedCalls, s.nestedRefused, s.crossZone)
		nested, long := float64(s.nestedRefused)/float64(s.nestedCalls), float64(payments.refused)/float64(payments.requests)
		if nested > long {
			t.Errorf("%.2f of the nested calls are refused, but %.2f of the payments", nested, long)
		}
	}
}
