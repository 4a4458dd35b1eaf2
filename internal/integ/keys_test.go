package integ

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	sample "tanagerchute/examples"
)

// callWithKey sends a call with a key that the backend servers know by the given name.
func (f *fleet) callWithKey(in *instance, key, name string) answer {
	req, err := http.NewRequest("POST", "http://"+in.CallerAddr+"/bookings", bytes.NewReader(nil))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil
	req.Host = "skraning"
	req.Header.Set("X-Work", name)
	req.Header.Set("Authorization", "Bearer "+key)
	return f.send(req)
}

// TestWithdrawnKeyAtFrozenNode guards against a key that is served by a process that was
// frozen when the key was withdrawn, right after it wakes. Calls are sent to it after the
// bound, while it is frozen.
func TestWithdrawnKeyAtFrozenNode(t *testing.T) {
	const revokeWithin = 2 * time.Second
	f := startFleet(t, fleetOptions{revokeWithin: revokeWithin})
	withKeys := func(keys string) string {
		return f.writeFile("keys.jsonc", bytes.Replace(sample.Nordurljos, []byte(`"services": [`), []byte(`"accounts": [{"name": "stofa", "keys": `+keys+`}], "services": [`), 1))
	}
	frozen := f.instancesOf("hafnar", "budir")[0]
	f.mustRun("apply", "-wait", "-node", frozen.AdminAddr, "-store", f.StoreURL, "-parent", "1", withKeys(`["old", "kept"]`))
	f.eventually(5*time.Second, "the key is served", func() bool { return f.callWithKey(frozen, "old", "before").status == http.StatusOK })
	frozen.Node.Signal(syscall.SIGSTOP)
	f.mustRun("apply", "-store", f.StoreURL, "-parent", "2", withKeys(`["kept"]`))
	time.Sleep(revokeWithin)
	var wg sync.WaitGroup
	answers := make([]answer, 20)
	for i := range answers {
		wg.Go(func() { answers[i] = f.callWithKey(frozen, "old", fmt.Sprint("late-", i)) })
	}
	time.Sleep(200 * time.Millisecond)
	frozen.Node.Signal(syscall.SIGCONT)
	wg.Wait()
	runs := f.runCounts()
	for i, a := range answers {
		if a.err == nil && a.status != http.StatusUnauthorized && a.status != http.StatusServiceUnavailable {
			t.Errorf("call %d: %s", i, describe(a))
		}
		if n := runs[fmt.Sprint("late-", i)]; n > 0 {
			t.Errorf("call %d ran %d times", i, n)
		}
	}
	f.eventually(10*time.Second, "the other key is served", func() bool { return f.callWithKey(frozen, "kept", "after").status == http.StatusOK })
}
