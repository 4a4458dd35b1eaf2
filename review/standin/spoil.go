package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Answers of a faulty upstream. They name no request and bear no seal.
const (
	foreignSuccess = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"
	foreignRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nunavailable\n"
)

// Doses of the disruption, at most those of plain garble in the site files (share 0.35, x 0.02,
// 5.5 s), and the load.
const (
	spoiledUpstreams = 2 // of the 6 of the service
	spoiledShare     = 0.02
	spoiledTime      = 5500 * time.Millisecond
	spoiledTimes     = 8
	spoiledPause     = 4 * time.Second
	spoiledWork      = 60 * time.Millisecond
	spoiledClients   = 7                       // at each machine
	spoiledInterval  = 1500 * time.Millisecond // of the bookings of a client, in all 42 a second
)

// playSpoil is the case of upstreams that send wrong bytes in place of some of their answers.
func playSpoil(rec *recorder, trouble bool, raw string) (int, error) {
	d, err := startSmall(rec, upstreamConfig{slots: 12, queue: 48, work: spoiledWork})
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
	}
	clients := startLoad(d, spoiledClients, spoiledInterval)
	for range spoiledTimes {
		time.Sleep(spoiledPause)
		if trouble {
			setSpoiled(d, raw)
		}
		time.Sleep(spoiledTime)
		if trouble {
			setSpoiled(d, "")
		}
	}
	time.Sleep(time.Second)
	answers := clients.end()
	mu.Lock()
	defer mu.Unlock()
	unsealed, refused, twice := 0, 0, 0
	runs := map[string]int{}
	for id, a := range answers {
		if a.status == http.StatusOK && a.seal == "" {
			unsealed++
			rec.add("UNSEALED: %s got 200 without the seal of an upstream", id)
		}
		if ran[id] && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused++
			rec.add("RAN: %s of %s was answered %d and has run", id, a.path, a.status)
		}
		if ran[id] {
			runs[a.path]++
		}
	}
	for path, n := range runs {
		if n > 1 {
			twice++
			rec.add("DOUBLE: %s ran %d times, since its client was told that it had not run", path, n)
		}
	}
	s := fmt.Sprintf("answers with 200 and without a seal: %d; bookings that were answered 503 or 429 and had run: %d; of these, bookings that ran again as the client repeated them: %d; attempts: %d", unsealed, refused, twice, len(answers))
	rec.add("%s", s)
	fmt.Println(s)
	if unsealed > 0 || refused > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// setSpoiled makes upstreams of the first service send raw in place of a share of their
// answers, or none if it is empty.
func setSpoiled(d *deployment, raw string) {
	for _, m := range d.machines[:spoiledUpstreams] {
		d.rec.add("%s: %s spoils its answers: %v", m.name, m.up.id, raw != "")
		m.up.setSpoil(func() string {
			if rand.Float64() < spoiledShare {
				return raw
			}
			return ""
		})
	}
}
