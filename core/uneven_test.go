package core_test

import (
	"slices"
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

// TestOverloadedZonesSwapFewCalls checks, while all upstreams of a service are full, that calls
// leave their zone only to even out what the zones accept: at least a third fewer than if each
// refused call went on to the next zone, with no less value, and no zone far behind the others.
func TestOverloadedZonesSwapFewCalls(t *testing.T) {
	const (
		from, to     = 6 * sec, 22 * sec
		seeds        = 3
		maxZoneShare = 0.1 // of the mean value, by which a zone may be behind
	)
	var value, valueMoving float64
	for seed := range uint64(seeds) {
		s, moving := simulateUneven(policy{}, seed+1, nil), simulateUneven(policy{alwaysMoves: true}, seed+1, nil)
		got, want := s.tally("", from, to).value, moving.tally("", from, to).value
		byZone := s.zoneValues(from, to)
		t.Logf("value %.3f, by zone %.3f, %d calls to another zone of %d", got, byZone, s.crossZone, s.attempts)
		t.Logf("if refused calls go on: %.3f, by zone %.3f, %d of %d", want, moving.zoneValues(from, to), moving.crossZone, moving.attempts)
		if s.crossZone > moving.crossZone*2/3 {
			t.Errorf("%d calls went to another zone, %d if refused calls go on", s.crossZone, moving.crossZone)
		}
		if least := slices.Min(byZone); least < (1-maxZoneShare)*got {
			t.Errorf("the value of a zone is %.3f, that of all %.3f", least, got)
		}
		value += got / seeds
		valueMoving += want / seeds
	}
	if value < valueMoving-valueTolerance {
		t.Errorf("value is %.3f, %.3f if refused calls go on", value, valueMoving)
	}
}

// TestReturningCallersAreRecognised checks, under lasting overload, that fewer answers are late
// and more are in time if a node recognises the callers that it told to come back.
func TestReturningCallersAreRecognised(t *testing.T) {
	const from, to = 6 * sec, 22 * sec
	var got, without tally
	for seed := range uint64(3) {
		a := simulateUneven(policy{}, seed+1, nil).tally("page", from, to)
		b := simulateUneven(policy{forgetsRefusals: true}, seed+1, nil).tally("page", from, to)
		t.Logf("%v", a)
		t.Logf("not recognised: %v", b)
		got.inTime, got.late = got.inTime+a.inTime, got.late+a.late
		without.inTime, without.late = without.inTime+b.inTime, without.late+b.late
	}
	if got.late >= without.late || got.inTime <= without.inTime {
		t.Errorf("%d in time and %d late, %d and %d if callers are not recognised", got.inTime, got.late, without.inTime, without.late)
	}
}
