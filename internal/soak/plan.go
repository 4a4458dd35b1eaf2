package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	Kill       Kind = "kill"   // SIGKILL of a node, and a restart
	Stop       Kind = "stop"   // SIGTERM of a node, and a restart
	Freeze     Kind = "freeze" // SIGSTOP and SIGCONT of a node
	Stall      Kind = "stall"  // a stop of a node while others freeze again and again
	Delay      Kind = "delay"  // of what peers send to a node, and of its answers
	Reset      Kind = "reset"  // of the connections of the peers of a node
	OneWay     Kind = "oneway" // what peers send to a node is lost
	Silence    Kind = "silence"
	StoreSlow  Kind = "store_slow"
	StoreAway  Kind = "store_away"
	StoreLoses Kind = "store_loses" // answers to writes
	StoreCut   Kind = "store_cut"   // of one data centre
	Crash      Kind = "crash"       // SIGKILL of a backend server, and a restart
	Leave      Kind = "leave"       // of a backend server that goes on serving for a while
	Break      Kind = "break"       // a backend server breaks off, or answers with foreign bytes
	Late       Kind = "late"        // a backend server answers late
	Limit      Kind = "limit"       // a backend server names a rate limit

	KillAgain Kind = "kill_again" // SIGKILL of a node again and again while it starts
	Foreign   Kind = "foreign"    // a backend server answers with a head that is no answer
	Roll      Kind = "roll"       // planned stops of all nodes, one shortly after the other
	Heavy     Kind = "heavy"      // many callers of a node send bodies of the largest size allowed
)

// NamedKinds returns the kinds that a run has only if they are named. With them in AllKinds, the
// seeds of earlier runs would give other plans.
func NamedKinds() []Kind { return []Kind{KillAgain, Foreign, Roll, Heavy} }

// AllKinds returns all kinds of faults.
func AllKinds() []Kind {
	return []Kind{Kill, Stop, Freeze, Stall, Delay, Reset, OneWay, Silence, StoreSlow, StoreAway, StoreLoses, StoreCut, Crash, Leave, Break, Late, Limit}
}

// ParseKinds parses names of kinds that are separated by commas. An empty text means
// all kinds.
func ParseKinds(text string) ([]Kind, error) {
	if text == "" {
		return AllKinds(), nil
	}
	var out []Kind
	for name := range strings.SplitSeq(text, ",") {
		if known := append(AllKinds(), NamedKinds()...); !slices.Contains(known, Kind(name)) {
			return nil, fmt.Errorf("no kind of fault is called %q; there are %v", name, known)
		}
		out = append(out, Kind(name))
	}
	return out, nil
}

// breaksCalls reports whether calls may end as unknown or without an answer because of
// a fault of this kind. The others only delay calls, or move them to other nodes.
func (k Kind) breaksCalls() bool {
	return slices.Contains([]Kind{Kill, KillAgain, Delay, Reset, OneWay, Silence, Crash, Break, Foreign}, k)
}

// lane is a part of an instance that one fault at a time affects.
type lane int

const (
	nodeLane lane = iota
	linkLane
	serverLane
	storeLane
	callerLane
	lanes // number of lanes
)

func (k Kind) lane() lane {
	switch k {
	case Kill, KillAgain, Stop, Freeze, Stall, Roll:
		return nodeLane
	case Delay, Reset, OneWay, Silence:
		return linkLane
	case Crash, Leave, Break, Foreign, Late, Limit:
		return serverLane
	case Heavy:
		return callerLane
	}
	return storeLane
}

// Fault is a planned fault.
type Fault struct {
	Kind    Kind
	Node    int           // index of the instance, or of the data centre for StoreCut
	At      time.Duration // since the start of the plan
	Length  time.Duration // for Stop, the time between the exit and the restart
	Variant int           // selects among faults of the same kind
}

// PlanConfig determines a plan.
type PlanConfig struct {
	Seed     uint64
	Duration time.Duration // in which faults begin
	Nodes    int
	Centres  int
	Kinds    []Kind
	StopTime time.Duration // longest duration of a planned stop
}

const (
	minGap, maxGap         = 200 * time.Millisecond, 1200 * time.Millisecond // between the starts of faults
	minRollGap, maxRollGap = 200 * time.Millisecond, 2 * time.Second         // between the stops of Roll
	minFreeze, maxFreeze   = 300 * time.Millisecond, 1500 * time.Millisecond
	maxStallFreezes        = 10
	nodesForEachDown       = 4 // a quarter of the nodes may be down or stopping at the same time
	restTime               = time.Second
	killsAgain             = 3           // of KillAgain, after the first
	maxStartTime           = time.Second // in which each of them comes
)

// planner builds a plan.
type planner struct {
	cfg    PlanConfig
	rng    *rand.Rand
	busy   [lanes][]time.Duration // until when a lane of an instance is in use
	downs  []time.Duration        // until when nodes are down or stopping
	faults []Fault
}

// NewPlan returns the faults of a run in the order of their start. The same
// configuration gives the same plan.
func NewPlan(cfg PlanConfig) []Fault {
	p := &planner{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	for l := range p.busy {
		p.busy[l] = make([]time.Duration, cfg.Nodes)
	}
	for at := p.between(0, maxGap); at < cfg.Duration; at += p.between(minGap, maxGap) {
		kind := cfg.Kinds[p.rng.IntN(len(cfg.Kinds))]
		switch kind {
		case Stall:
			p.addStall(at)
			continue
		case Roll:
			p.addRoll(at)
			continue
		}
		p.add(Fault{Kind: kind, At: at, Length: p.length(kind)})
	}
	slices.SortStableFunc(p.faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p.faults
}

func (p *planner) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.rng.Int64N(int64(to-from)))
}

func (p *planner) length(k Kind) time.Duration {
	switch k {
	case Freeze:
		return p.between(minFreeze, maxFreeze)
	case Leave:
		return p.between(4*time.Second, 6*time.Second) // longer than leaveBound
	case Limit:
		return p.between(noticeTime+limitWindow, 2*limitWindow)
	}
	return p.between(200*time.Millisecond, 2500*time.Millisecond)
}

// add adds a fault at a random instance whose lane is free. It adds none if there is
// no such instance, or if too many nodes are down.
func (p *planner) add(f Fault) (node int, ok bool) {
	p.downs = slices.DeleteFunc(p.downs, func(until time.Duration) bool { return until <= f.At })
	goesDown := f.Kind == Kill || f.Kind == KillAgain || f.Kind == Stop
	if goesDown && len(p.downs) >= max(1, p.cfg.Nodes/nodesForEachDown) {
		return 0, false
	}
	l := f.Kind.lane()
	number := p.cfg.Nodes
	switch {
	case f.Kind == StoreCut:
		number = p.cfg.Centres
	case l == storeLane:
		number = 1 // the stand-in of the store has one fault at a time
	}
	var free []int
	for i, until := range p.busy[l][:number] {
		if until <= f.At {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return 0, false
	}
	f.Node, f.Variant = free[p.rng.IntN(len(free))], p.rng.IntN(1<<16)
	end := f.At + f.Length + restTime
	switch f.Kind {
	case Stop:
		end += p.cfg.StopTime
	case KillAgain:
		end += killsAgain * maxStartTime
	}
	p.busy[l][f.Node] = end
	if goesDown {
		p.downs = append(p.downs, end)
	}
	p.faults = append(p.faults, f)
	return f.Node, true
}

// addRoll adds a planned stop of each node that has no other fault, so that several stop at
// once, more than in other faults.
func (p *planner) addRoll(at time.Duration) {
	for _, node := range p.rng.Perm(p.cfg.Nodes) {
		if p.busy[nodeLane][node] <= at {
			f := Fault{Kind: Stop, Node: node, At: at, Length: p.between(minGap, maxGap)}
			end := f.At + f.Length + restTime + p.cfg.StopTime
			p.busy[nodeLane][node] = end
			p.downs = append(p.downs, end)
			p.faults = append(p.faults, f)
		}
		at += p.between(minRollGap, maxRollGap)
	}
}

// addStall adds a planned stop, and freezes of other nodes from shortly before it to
// its end.
func (p *planner) addStall(at time.Duration) {
	if _, ok := p.add(Fault{Kind: Stop, At: at, Length: p.length(Stop)}); !ok {
		return
	}
	for range 2 + p.rng.IntN(maxStallFreezes-1) {
		from := max(0, at-maxFreeze)
		p.add(Fault{Kind: Freeze, At: p.between(from, at+p.cfg.StopTime), Length: p.length(Freeze)})
	}
}
