package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case. It returns whether the rule was broken.
type scenario func(d *deployment, s *store, r *record, trouble bool) (broken bool, err error)

// layout is what a case needs.
type layout struct {
	play    scenario
	perZone int
	staleBy time.Duration // age of the reads of the store that may be stale
	extra   []string      // lines of the settings
}

var cases = map[string]layout{
	"leave-after-clock-step": {playClockStep, 1, 0, []string{"Terms.Contracts=base,drain,config,cost,retry,recover,platform"}},
	"stop-in-turn":           {playStops, 2, 0, []string{"Terms.Contracts=base,drain,config,cost,retry,recover,platform"}},
	"quota-after-restart": {playQuota, 3, 3 * time.Second, []string{
		"Terms.Contracts=base,drain,config,cost,retry,recover,tenants,quota,platform",
		"Terms.ContractBounds.QuotaWindowS=5", "Terms.ContractBounds.QuotaOvershoot=0.1", "Terms.ContractBounds.QuotaSlack=20",
	}},
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	root := flag.String("root", ".", "`folder` of the repository")
	path := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	broken, err := play(*name, *root, *path, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// play plays a case with all that it needs.
func play(name, root, path string, trouble bool) (broken bool, err error) {
	c, ok := cases[name]
	if !ok {
		return false, errors.New("no such case")
	}
	r, err := newRecord(path)
	if err != nil {
		return false, err
	}
	d, err := newDeployment(root, r, []string{"hafnar", "selfoss", "keflavik"}, c.perZone, serviceName)
	if err != nil {
		return false, err
	}
	defer d.end()
	go d.endOnSignal()
	d.extra = c.extra
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	d.store = l.Addr().String()
	s := newStore(c.staleBy)
	go s.serve(l)
	broken, err = c.play(d, s, r, trouble)
	if err == nil {
		r.say("disruption played: %v, rule broken: %v", trouble, broken)
	}
	return broken, err
}
