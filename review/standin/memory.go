package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of large bodies.
const (
	memoryLimit    = 284 << 20 // MemoryMb of the settings
	memoryInterval = 2 * time.Millisecond
	uploadBytes    = 60 << 20 // the configuration allows 64 MiB
	uploadsAtOnce  = 5        // from the clients of one machine
	uploadRounds   = 3
	uploadMachines = 2
	uploadDeadline = 3 * time.Second
	roundPause     = 6 * time.Second
	maxLost        = 3 // requests that a machine may pass on and leave without an answer
	endsInDay      = 3 // ends of processes by themselves at a machine
)

// zeros is a body of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// playMemory is the case of clients that send bodies near the largest size that the
// configuration allows.
func playMemory(rec *recorder, trouble bool) (int, error) {
	d, err := startSmall(rec, upstreamConfig{slots: 12, queue: 48, work: leaveWork})
	if err != nil {
		return 0, err
	}
	defer d.close()
	var mu sync.Mutex
	ran := map[string]bool{}
	for _, m := range d.machines {
		m.up.setOnRun(func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
		})
		go m.limitMemory()
	}
	clients := startLoad(d, leaveClients, 0)
	for range uploadRounds {
		time.Sleep(roundPause)
		if !trouble {
			continue
		}
		var wg sync.WaitGroup
		for _, m := range d.machines[:uploadMachines] {
			for range uploadsAtOnce {
				wg.Go(func() { upload(rec, m) })
			}
		}
		wg.Wait()
	}
	time.Sleep(roundPause)
	answers := clients.end()
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for id, a := range answers {
		if ran[id] && a.status == 0 {
			lost++
		}
	}
	atLimit := 0
	for _, m := range d.machines {
		if m.ends() >= endsInDay {
			atLimit++
		}
		rec.add("%s: most memory %d MB, the process was ended %d times for its memory", m.name, m.peak()>>20, m.ends())
	}
	s := fmt.Sprintf("small bookings from kept connections that ran, and whose connection was closed without an answer: %d; machines whose process exceeded its memory %d times: %d of %d", lost, endsInDay, atLimit, len(d.machines))
	rec.add("%s", s)
	fmt.Println(s)
	if lost > maxLost || atLimit >= 2 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// upload sends a booking with a large body.
func upload(rec *recorder, m *machine) {
	c := newClient()
	defer c.CloseIdleConnections()
	request{m: m, client: c, method: http.MethodPost, path: "/book/large", deadline: uploadDeadline, body: io.LimitReader(zeros{}, uploadBytes), length: uploadBytes}.send(rec)
}

// memory is what the platform has seen of the memory of a machine's node.
type memory struct {
	mu   sync.Mutex
	most int64
	kill int
}

func (m *machine) peak() int64 {
	m.memory.mu.Lock()
	defer m.memory.mu.Unlock()
	return m.memory.most
}

func (m *machine) ends() int {
	m.memory.mu.Lock()
	defer m.memory.mu.Unlock()
	return m.memory.kill
}

// limitMemory ends the node when it exceeds its memory, and starts it again, as the platform
// does. It returns when the deployment is closed.
func (m *machine) limitMemory() {
	for {
		m.mu.Lock()
		pid, exited, closed := m.process.Process.Pid, m.exited, m.closed
		m.mu.Unlock()
		if closed {
			return
		}
		n := anonymousBytes(pid)
		m.memory.mu.Lock()
		m.memory.most = max(m.memory.most, n)
		if n > memoryLimit {
			m.memory.kill++
		}
		m.memory.mu.Unlock()
		if n <= memoryLimit {
			time.Sleep(memoryInterval)
			continue
		}
		m.d.rec.add("%s: the node uses %d MB and has %d MB, it is killed", m.name, n>>20, memoryLimit>>20)
		_ = syscall.Kill(pid, syscall.SIGKILL)
		<-exited
		time.Sleep(restartDelay)
		if err := m.restart(); err != nil {
			m.d.rec.add("%s: %v", m.name, err)
			return
		}
	}
}

// anonymousBytes returns the resident memory of a process without mapped files, 0 if it is
// not running.
func anonymousBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
