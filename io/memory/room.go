package memory

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	"tanagerchute/core/room"
)

const (
	// uncountedBytes is the largest size of a buffer that is not counted. There is at most
	// one for each connection, beside the buffers of the connection.
	uncountedBytes = 1 << 10
	// collectInterval is the interval of garbage collections while messages wait.
	collectInterval = 20 * time.Millisecond
	// roomShare is the share of the process's memory that bodies and answers may take. The
	// rest is for the state of the fleet, connections and garbage.
	roomShare = 0.45
	// headShare is the share of the process's memory for large heads of requests. While a
	// request is served, it takes several times its head.
	headShare = 1.0 / 24
	// collectShare is the share of the process's memory from which on the collector runs
	// as often as it must.
	collectShare = 0.7
)

// RoomBytes returns what bodies and answers may take in a process with the given memory.
func RoomBytes(limit int64) int64 { return int64(roomShare * float64(limit)) }

// HeadBytes returns what large heads of requests may take together, as they were sent, in such a
// process.
func HeadBytes(limit int64) int64 { return int64(headShare * float64(limit)) }

// CollectBytes returns the soft limit for the garbage collector of such a process.
func CollectBytes(limit int64) int64 { return int64(collectShare * float64(limit)) }

// Config configures a Room.
type Config struct {
	Bytes int64 // for all buffers together, 0 for no limit
	// OnWait and OnRefuse, if not nil, are called when a request has waited, and when it is
	// refused.
	OnWait   func(r Request, waited time.Duration, s room.State)
	OnRefuse func(r Request, waited time.Duration, s room.State)
}

// Request asks for a buffer.
type Request struct {
	Call  string     // id of the call that it is for
	Class room.Class // if it is larger than room.SmallBytes
	Bytes int64
	// Beside is counted with the buffer, for what is made from its content.
	Beside int64
	Until  time.Time // how long it may wait, zero for not at all
	// Grows reports that a smaller buffer of the same message is held meanwhile.
	Grows bool
}

// Total returns all that is counted.
func (r Request) Total() int64 { return r.Bytes + r.Beside }

// FullError means that there is no room in time.
type FullError struct {
	RetryAfter time.Duration // when there should be, 0 if never
	Bytes      int64
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("no memory for %d bytes in time", e.Bytes) }

// Counts counts requests for buffers since the start.
type Counts struct{ Waited, Refused int64 }

// Room hands out buffers. It is safe for concurrent use. A nil Room has no limit.
type Room struct {
	cfg Config

	mu         sync.Mutex
	table      *room.Table
	waiting    map[uint64]chan struct{}
	lastID     uint64
	counts     Counts
	collecting bool
}

// NewRoom returns a room that has handed out nothing.
func NewRoom(cfg Config) *Room {
	if cfg.Bytes <= 0 {
		return nil
	}
	return &Room{cfg: cfg, table: room.New(room.Config{Bytes: cfg.Bytes}), waiting: map[uint64]chan struct{}{}}
}

// Buffer returns a buffer of r.Bytes bytes. It waits until there is room, and returns a
// *FullError if there is none in time, or the error of ctx.
func (m *Room) Buffer(ctx context.Context, r Request) ([]byte, error) {
	if m == nil || r.Total() <= uncountedBytes {
		return make([]byte, r.Bytes), nil
	}
	start := time.Now()
	c := room.ClassOf(r.Class, r.Total())
	id, given, err := m.offer(start, c, r)
	if err != nil {
		return nil, err
	}
	if given != nil {
		if err := m.await(ctx, start, c, id, r, given); err != nil {
			return nil, err
		}
	}
	return m.allocate(c, r), nil
}

// offer asks for the room of r. If it has to wait, it returns the channel that is closed
// when room is given.
func (m *Room) offer(now time.Time, c room.Class, r Request) (id uint64, given chan struct{}, err error) {
	m.mu.Lock()
	m.lastID++
	id = m.lastID
	v, retryAfter := m.table.Offer(now, room.Message{ID: id, Class: c, Bytes: r.Total(), Until: r.Until, Grows: r.Grows})
	switch v {
	case room.Given:
		m.mu.Unlock()
		return id, nil, nil
	case room.Waits:
		given = make(chan struct{})
		m.waiting[id] = given
		m.counts.Waited++
		m.collectWhileWaiting()
		m.mu.Unlock()
		return id, given, nil
	}
	m.collectOnce()
	m.mu.Unlock()
	m.refuse(r, 0)
	return id, nil, &FullError{RetryAfter: retryAfter, Bytes: r.Total()}
}

// await waits for the room of r.
func (m *Room) await(ctx context.Context, start time.Time, c room.Class, id uint64, r Request, given chan struct{}) error {
	t := time.NewTimer(time.Until(r.Until))
	defer t.Stop()
	err := error(nil)
	select {
	case <-given:
	case <-t.C:
		err = &FullError{RetryAfter: time.Since(start), Bytes: r.Total()}
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil && m.cancel(c, id) {
		m.refuse(r, time.Since(start))
		return err
	}
	if m.cfg.OnWait != nil {
		m.cfg.OnWait(r, time.Since(start), m.State())
	}
	return nil
}

// cancel ends the wait of a request. It returns false if room has been given to it.
func (m *Room) cancel(c room.Class, id uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	given, ok := m.table.Cancel(c, id)
	if !ok {
		return false
	}
	delete(m.waiting, id)
	m.give(given)
	return true
}

// refuse records a refusal.
func (m *Room) refuse(r Request, waited time.Duration) {
	m.mu.Lock()
	m.counts.Refused++
	m.mu.Unlock()
	if m.cfg.OnRefuse != nil {
		m.cfg.OnRefuse(r, waited, m.State())
	}
}

// give tells the given requests that they have room. The caller holds mu.
func (m *Room) give(ids []uint64) {
	for _, id := range ids {
		close(m.waiting[id])
		delete(m.waiting, id)
	}
}

// SetTaken sets what is taken beside the buffers, for example by open connections.
func (m *Room) SetTaken(bytes int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.give(m.table.SetTaken(bytes))
}

// allocation is the room of a buffer.
type allocation struct {
	room  *Room
	class room.Class
	bytes int64
}

// allocate returns a buffer whose room is given back when it has been collected.
func (m *Room) allocate(c room.Class, r Request) []byte {
	b := make([]byte, r.Bytes)
	runtime.AddCleanup(&b[0], func(a allocation) { a.room.release(a) }, allocation{m, c, r.Total()})
	return b
}

// release gives back the room of a buffer.
func (m *Room) release(a allocation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.give(m.table.Release(time.Now(), a.class, a.bytes))
}

// collectWhileWaiting collects garbage until no request waits. The caller holds mu.
func (m *Room) collectWhileWaiting() {
	if m.collecting {
		return
	}
	m.collecting = true
	go func() {
		for {
			runtime.GC()
			m.mu.Lock()
			if len(m.waiting) == 0 {
				m.collecting = false
				m.mu.Unlock()
				return
			}
			m.mu.Unlock()
			time.Sleep(collectInterval)
		}
	}()
}

// collectOnce collects garbage, for the requests that come after one that was refused at
// once. The caller holds mu.
func (m *Room) collectOnce() {
	if m.collecting {
		return
	}
	m.collecting = true
	go func() {
		runtime.GC()
		time.Sleep(collectInterval)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.collecting = false
		if len(m.waiting) > 0 {
			m.collectWhileWaiting()
		}
	}()
}

// State returns the present state.
func (m *Room) State() room.State {
	if m == nil {
		return room.State{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.State()
}

// Counts returns the counts since the start.
func (m *Room) Counts() Counts {
	if m == nil {
		return Counts{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}
