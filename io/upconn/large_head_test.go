package upconn_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagerchute/internal/faulty"
	"tanagerchute/io/memory"
	"tanagerchute/io/upconn"
)

// TestLargeHeadsDoNotWaitForEachOther guards against answers whose heads take all room, so that
// each waits for room for its body until its deadline.
func TestLargeHeadsDoNotWaitForEachOther(t *testing.T) {
	const answers, budgetBytes = 30, 8 << 20
	head := okLine + "X-A: " + strings.Repeat("a", 200<<10) + "\r\n"
	for name, rest := range map[string]string{
		"with a length":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 300<<10, strings.Repeat("b", 300<<10)),
		"without a length": "\r\n" + strings.Repeat("b", 300<<10),
	} {
		addr := faulty.Serve(t, faulty.Bytes{Start: head + rest})
		p := upconn.New(upconn.Config{MaxAnswerBytes: 1 << 20, Memory: memory.NewRoom(memory.Config{Bytes: budgetBytes})})
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		var wg sync.WaitGroup
		var whole atomic.Int64
		for range answers {
			wg.Go(func() {
				if _, err := p.Do(ctx, addr, upconn.Request{Method: http.MethodGet, Path: "/", Host: "a", Header: http.Header{}}); err == nil {
					whole.Add(1)
				}
			})
		}
		wg.Wait()
		if whole.Load() == 0 || ctx.Err() != nil {
			t.Errorf("%s: %d of %d answers, %v", name, whole.Load(), answers, ctx.Err())
		}
		cancel()
	}
}
