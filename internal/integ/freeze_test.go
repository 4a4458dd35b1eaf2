package integ

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	sample "tanagerchute/examples"
)

// patientDocument is the sample document with a deadline that is longer than each
// freeze of TestFrozenNodeKeepsItsWork.
func patientDocument() []byte {
	doc := strings.ReplaceAll(string(sample.Nordurljos), `"answer_within": "2s"`, `"answer_within": "14s"`)
	return []byte(strings.ReplaceAll(doc, `"answer_within": "800ms"`, `"answer_within": "14s"`))
}

// work sends a call that the backend servers know by the given name.
func (f *fleet) work(in *instance, method, path, name string) answer {
	req, err := http.NewRequest(method, "http://"+in.CallerAddr+path, bytes.NewReader(nil))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil
	req.Host = "skraning"
	req.Header.Set("X-Work", name)
	return f.send(req)
}

// TestFrozenNodeKeepsItsWork guards against work that is given up, or started again
// elsewhere, because the node that runs it is silent for a while. The backend servers
// of the frozen node go on.
func TestFrozenNodeKeepsItsWork(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetOptions{})
	// The sender has no upstream of the service beside it, so both local ones get work.
	sender, frozen := f.instancesOf("hafnar", "budir")[0], f.instancesOf("hafnar", "skraning")[0].Node
	file := f.writeFile("patient.jsonc", patientDocument())
	f.mustRun("apply", "-wait", "-node", sender.AdminAddr, "-store", f.StoreURL, "-parent", "1", file)
	for _, freeze := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		t.Run(freeze.String(), func(t *testing.T) {
			var wg sync.WaitGroup
			answers := map[string]answer{}
			var mu sync.Mutex
			for i := range 24 {
				wg.Go(func() {
					method, path := "POST", "/bookings?work=1500ms"
					if i%3 == 0 {
						method, path = "GET", "/places?work=1500ms"
					}
					name := fmt.Sprintf("%s-%v-%d", method, freeze, i)
					a := f.work(sender, method, path, name)
					mu.Lock()
					defer mu.Unlock()
					answers[name] = a
				})
			}
			time.Sleep(700 * time.Millisecond)
			frozen.Signal(syscall.SIGSTOP)
			time.Sleep(freeze)
			frozen.Signal(syscall.SIGCONT)
			wg.Wait()
			runs := f.runCounts()
			again := 0
			for name, a := range answers {
				if a.err != nil || a.status != http.StatusOK {
					t.Errorf("%s: %s", name, describe(a))
				}
				if runs[name] > 1 {
					again++
				}
				if runs[name] > 1 && strings.HasPrefix(name, "POST") {
					t.Errorf("%s ran %d times", name, runs[name])
				}
			}
			t.Logf("%d of %d calls, all of them idempotent, ran again elsewhere", again, len(answers))
			f.eventually(20*time.Second, "all nodes are ready again", func() bool { return f.AllReady(2) })
		})
	}
	is.True(frozen.Cmd.ProcessState == nil) // it was never restarted
}

// TestKilledGatekeeperProvesNothing guards against work that ran and is run again, or is
// told as not run, because the node that sent it to its backend server was killed and
// its next process knows nothing of it. Calls without a key, sent over two hops.
func TestKilledGatekeeperProvesNothing(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	sender := f.instancesOf("hafnar", "budir")[0]
	outcomes := map[string]int{}
	for round, victim := range f.instancesOf("hafnar", "skraning") {
		var wg sync.WaitGroup
		var mu sync.Mutex
		answers := map[string]answer{}
		for i := range 20 {
			wg.Go(func() {
				name := fmt.Sprintf("kill-%d-%d", round, i)
				a := f.work(sender, "POST", "/bookings?work=500ms", name)
				mu.Lock()
				defer mu.Unlock()
				answers[name] = a
			})
		}
		time.Sleep(250 * time.Millisecond)
		victim.Node.Kill()
		f.start(victim.Node)
		wg.Wait()
		runs := f.runCounts()
		for name, a := range answers {
			outcomes[a.outcome]++
			switch {
			case runs[name] > 1:
				t.Errorf("%s ran %d times: %s", name, runs[name], describe(a))
			case a.err != nil:
				t.Errorf("%s: no answer: %v", name, a.err)
			case a.outcome == "not_run" && runs[name] > 0:
				t.Errorf("%s was told as not run, and ran", name)
			case a.reportsRun() && runs[name] != 1:
				t.Errorf("%s was told as run, and ran %d times", name, runs[name])
			}
		}
		f.eventually(20*time.Second, "all nodes are ready again", func() bool { return f.AllReady(1) })
	}
	t.Logf("outcomes: %v", outcomes)
	if outcomes["unknown"] == 0 || outcomes[""] == 0 {
		t.Error("no call was at the killed nodes, or none elsewhere")
	}
}

// TestStoppingNodeAwaitsBusyNodes guards against a planned stop under which calls are
// given up, while backend servers work on them, because the nodes beside these servers
// get no processor time for a moment. Idempotent calls, more than the retry budget, on
// connections that a ping is under way on.
func TestStoppingNodeAwaitsBusyNodes(t *testing.T) {
	f := startFleet(t, fleetOptions{work: 100 * time.Millisecond})
	sender, busy := f.instancesOf("hafnar", "budir")[0], f.instancesOf("hafnar", "skraning")
	file := f.writeFile("patient.jsonc", patientDocument())
	f.mustRun("apply", "-wait", "-node", sender.AdminAddr, "-store", f.StoreURL, "-parent", "1", file)
	send := func(round string, n int) map[string]answer {
		var wg sync.WaitGroup
		var mu sync.Mutex
		answers := map[string]answer{}
		for i := range n {
			wg.Go(func() {
				name := fmt.Sprintf("%s-%d", round, i)
				a := f.work(sender, "GET", "/places", name)
				mu.Lock()
				defer mu.Unlock()
				answers[name] = a
			})
		}
		wg.Wait()
		return answers
	}
	send("before", 20)
	time.Sleep(1100 * time.Millisecond) // connections are pinged after 1.2 s without data
	sender.Node.Signal(syscall.SIGTERM)
	for _, in := range busy {
		in.Node.Signal(syscall.SIGSTOP)
	}
	time.AfterFunc(900*time.Millisecond, func() {
		for _, in := range busy {
			in.Node.Signal(syscall.SIGCONT)
		}
	})
	time.Sleep(300 * time.Millisecond)
	for name, a := range send("stopping", 40) {
		if a.err != nil || a.status != http.StatusOK {
			t.Errorf("%s: %s", name, describe(a))
		}
	}
	select {
	case <-sender.Node.Exited:
	case <-time.After(30 * time.Second):
		t.Error("the node did not stop")
	}
}
