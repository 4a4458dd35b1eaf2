package tokens_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/acct"
)

// TestRestartOfAllNodes checks that accounts at 60 % of their quota are served after all
// processes were killed together and started again within a second.
func TestRestartOfAllNodes(t *testing.T) {
	is := is.New(t)
	quotas := map[string]acct.Quota{}
	f := newFleet(60, 1, quotas)
	f.run(600 * time.Millisecond)
	for i, perSecond := range []float64{2, 2, 2, 5, 5, 10, 20, 40, 250} {
		account := fmt.Sprint("a", i)
		quotas[account] = acct.Quota{Rate: perSecond / 0.6, Burst: perSecond / 0.6}
		f.load(account, perSecond, instances(0, 60), 0, 6*time.Second)
	}
	f.run(2 * time.Second)
	for i := range 60 {
		f.kill(i, f.between(500*time.Millisecond, time.Second))
	}
	f.run(time.Second)
	f.requests = nil
	f.run(3 * time.Second)
	granted, refused := 0, 0
	for account := range quotas {
		g, r := f.served(account)
		t.Log(account, quotas[account].Rate, g, r)
		granted, refused = granted+g, refused+r
	}
	t.Logf("%d admitted, %d refused", granted, refused)
	is.True(refused*100 <= granted)
}
