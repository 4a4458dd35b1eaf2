package node

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/core/room"
	"tanagerchute/io/ahead"
	"tanagerchute/io/memory"
)

// watchMemory returns the watch over the memory of the process.
func (n *Node) watchMemory() memory.Watch {
	limit := n.cfg.Settings.Limits.MemoryBytes()
	return memory.Watch{LimitBytes: limit, OnHigh: func(u memory.Use) {
		n.recordEvent(event.MemoryHigh, fmt.Sprintf("%d of %d MB in use, %d MB of it objects", u.Process>>20, limit>>20, u.Live>>20))
	}}
}

// connBytes is what an open connection of a caller takes, with its goroutine and buffers.
const connBytes = 28 << 10

// takenMemory is what callers take beside bodies and answers. It is safe for concurrent use.
type takenMemory struct {
	room *memory.Room

	mu    sync.Mutex
	conns int64 // open connections
	heads int64 // bytes of large heads
}

// setConns sets the number of open connections.
func (t *takenMemory) setConns(open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = int64(open)
	t.update()
}

// addHeads adds n bytes of large heads.
func (t *takenMemory) addHeads(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heads += int64(n)
	t.update()
}

// headBytes returns the bytes of large heads.
func (t *takenMemory) headBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heads
}

// update tells the room what is taken. The caller holds mu.
func (t *takenMemory) update() {
	t.room.SetTaken(ahead.MaxKeptBytes + t.conns*connBytes + t.heads*memory.HeadCopies)
}

// newMemory returns the memory for bodies and answers.
func (n *Node) newMemory() *memory.Room {
	record := func(k event.Kind) func(memory.Request, time.Duration, room.State) {
		return func(r memory.Request, waited time.Duration, s room.State) {
			n.journal.Add(event.Event{At: time.Now(), Kind: k, Subject: r.Call, Cause: fmt.Sprintf(
				"%v of %d bytes, waited %v; bodies hold %d bytes, answers %d, small messages %d, %d wait",
				r.Class, r.Total(), waited.Round(time.Millisecond), s.Used[room.Body], s.Used[room.Answer], s.Used[room.Small], s.Waiting)})
		}
	}
	return memory.NewRoom(memory.Config{
		Bytes:  memory.RoomBytes(n.cfg.Settings.Limits.MemoryBytes()),
		OnWait: record(event.MemoryWaited), OnRefuse: record(event.MemoryRefused),
	})
}

// recordFailures records the panics of h. The server then ends the connection.
func (n *Node) recordFailures(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				n.journal.Add(event.Event{At: time.Now(), Kind: event.HandlerFailed, Subject: r.RemoteAddr, Cause: fmt.Sprintf("%s: %v", r.Method, cause)})
			}
			panic(cause)
		}()
		h.ServeHTTP(w, r)
	})
}
