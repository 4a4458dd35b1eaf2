package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"

	"tanagerchute/core/jsonc"
	"tanagerchute/internal/procs"
	"tanagerchute/io/admin"
	"tanagerchute/io/fakekv"
	"tanagerchute/io/server"
)

// Injection is a fault that was injected.
type Injection struct {
	Fault
	Began  time.Time
	Exited time.Time // Stop: when the process ended
	Status int       // Stop: its exit status
	Acked  time.Time // Leave: when the node acknowledged it, zero if it did not
	Rate   int       // Limit: calls a second
	Ended  time.Time
	Felt   int64 // calls or bytes that met the fault
	Err    error // the fault could not be injected
}

// injector injects the faults of a plan.
type injector struct {
	fleet    *procs.Fleet
	stopTime time.Duration // a planned stop that takes longer is ended by SIGKILL
	// heavy runs the callers of Heavy at a node until ctx ends.
	heavy  func(ctx context.Context, node int)
	mu     sync.Mutex
	done   []Injection
	starts [][]time.Time // of each node's processes
}

func newInjector(f *procs.Fleet, stopTime time.Duration, heavy func(context.Context, int)) *injector {
	return &injector{fleet: f, stopTime: stopTime, heavy: heavy, starts: make([][]time.Time, len(f.Instances))}
}

// run injects all faults of a plan and returns when the last one has ended. After ctx
// has ended it begins no more.
func (j *injector) run(ctx context.Context, plan []Fault) []Injection {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range plan {
		wg.Go(func() {
			if !sleep(ctx, time.Until(began.Add(f.At))) {
				return
			}
			i := j.inject(f)
			j.mu.Lock()
			defer j.mu.Unlock()
			j.done = append(j.done, i)
		})
	}
	wg.Wait()
	return j.done
}

// inject injects a fault, waits for its length, and ends it.
func (j *injector) inject(f Fault) Injection {
	i := Injection{Fault: f, Began: time.Now()}
	bytesBefore := j.bytes(f)
	switch f.Kind.lane() {
	case nodeLane:
		j.injectNode(&i)
	case linkLane:
		i.Err = j.injectToxics(j.fleet.Instances[f.Node].PeerProxy, f, linkToxics(f))
	case serverLane:
		i.Err = j.injectServer(&i)
	case storeLane:
		i.Err = j.injectStore(f)
	case callerLane:
		ctx, cancel := context.WithTimeout(context.Background(), f.Length)
		j.heavy(ctx, f.Node)
		cancel()
	}
	i.Ended = time.Now()
	i.Felt = j.bytes(f) - bytesBefore
	return i
}

// bytes returns the number of bytes that have arrived so far at the proxies that f
// affects. It is 0 for faults of processes.
func (j *injector) bytes(f Fault) int64 {
	var n int64
	switch {
	case f.Kind == StoreCut:
		return procs.Bytes(j.fleet.StoreProxies[procs.DataCentres()[f.Node]])
	case f.Kind.lane() == storeLane:
		for _, p := range j.fleet.StoreProxies {
			n += procs.Bytes(p)
		}
	case f.Kind.lane() == linkLane:
		return procs.Bytes(j.fleet.Instances[f.Node].PeerProxy)
	}
	return n
}

func (j *injector) injectNode(i *Injection) {
	p := j.fleet.Instances[i.Node].Node
	switch i.Kind {
	case Freeze:
		p.Signal(syscall.SIGSTOP)
		time.Sleep(i.Length)
		p.Signal(syscall.SIGCONT)
		return
	case Stop:
		i.Status, i.Err = p.Terminate(j.stopTime)
		i.Exited = time.Now()
		if i.Err != nil {
			p.Kill()
		}
	case Kill:
		p.Kill()
	case KillAgain:
		for n := range killsAgain {
			p.Kill()
			j.start(i)
			time.Sleep(maxStartTime * time.Duration(i.Variant>>(4*n)&15) / 16)
		}
		p.Kill()
	}
	time.Sleep(i.Length)
	j.start(i)
}

// start starts the node of an injection again.
func (j *injector) start(i *Injection) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts[i.Node] = append(j.starts[i.Node], time.Now())
	if err := j.fleet.Instances[i.Node].Node.Start(); err != nil {
		i.Err = err
	}
}

// toxic is a fault of a proxy in toxiproxy's JSON.
type toxic struct{ name, json string }

func newToxic(typ, stream, attributes string) toxic {
	name := typ + "-" + stream
	return toxic{name, fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": %s}`, name, typ, stream, attributes)}
}

// linkToxics returns the toxics of a fault of connections.
func linkToxics(f Fault) []toxic {
	const lost = `{"timeout": 0}` // the data are dropped, and the connection stays open
	switch f.Kind {
	case Delay:
		ms := fmt.Sprintf(`{"latency": %d, "jitter": 20}`, 50+f.Variant%500)
		return []toxic{newToxic("latency", "upstream", ms), newToxic("latency", "downstream", ms)}
	case Reset:
		return []toxic{newToxic("reset_peer", "upstream", lost)}
	case OneWay:
		stream := []string{"upstream", "downstream"}[f.Variant%2]
		return []toxic{newToxic("timeout", stream, lost)}
	}
	return []toxic{newToxic("timeout", "upstream", lost), newToxic("timeout", "downstream", lost)}
}

func (j *injector) injectToxics(p *toxiproxy.Proxy, f Fault, toxics []toxic) error {
	for _, t := range toxics {
		if err := procs.AddToxic(p, t.json); err != nil {
			return err
		}
	}
	time.Sleep(f.Length)
	for _, t := range toxics {
		if err := procs.RemoveToxic(p, t.name); err != nil {
			return err
		}
	}
	return nil
}

func (j *injector) injectStore(f Fault) error {
	var faults fakekv.Faults
	switch f.Kind {
	case StoreCut:
		return j.injectToxics(j.fleet.StoreProxies[procs.DataCentres()[f.Node]], f, linkToxics(f))
	case StoreSlow:
		faults.Slow = jsonc.Duration(time.Duration(100+f.Variant%1500) * time.Millisecond)
	case StoreAway:
		faults.Down = true
	case StoreLoses:
		faults.LoseAnswers = 1 + f.Variant%4
	}
	if err := j.fleet.SetStoreFaults(faults); err != nil {
		return err
	}
	time.Sleep(f.Length)
	return j.fleet.SetStoreFaults(fakekv.Faults{})
}

// brokenAnswers returns the faults of backend servers that break off, or send bytes
// that are not the answer to a call.
func brokenAnswers() []server.Faults {
	return []server.Faults{
		{DropBefore: true}, {DropAfter: true}, {CutAnswer: true}, {WrongAnswerID: true}, {ExtraAnswer: true}, {LateCopy: true},
		{HugeAnswer: true}, {FailAfter: true}, {InvertHealth: true}, {Endless: server.EndlessHead}, {Endless: server.EndlessChunks},
		{Cut: server.CutInHead}, {Cut: server.CutInBody}, {Cut: server.CutLastByte}, {Cut: server.CutLastChunk}, {Cut: server.CutResetNoLength},
	}
}

// foreignAnswers returns bytes in place of answers, on which a node must neither end nor close
// the connection of the caller.
func foreignAnswers() []string {
	return []string{
		"HTTP/1.1 000 zero\r\nTanager-Request: {id}\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 099 low\r\nTanager-Request: {id}\r\n\r\n",
		"HTTP/1.1 999 high\r\nTanager-Request: {id}\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTanager-Request: {id}\r\nContent-Len", "HTTP/1.1 200 OK\r\n", "\x16\x03\x01\x00*\x02\x00\x00",
		"HTTP/1.1 503 Service Unavailable\r\nTanager-Outcome: not_run\r\nTanager-Request: another\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTanager-Request: {id}\r\nTanager-Outcome: not_run\r\nContent-Length: 5\r\n\r\nhalf",
	}
}

func (j *injector) injectServer(i *Injection) error {
	in := j.fleet.Instances[i.Node]
	var faults server.Faults
	switch i.Kind {
	case Crash:
		in.Upstream.Kill()
		time.Sleep(i.Length)
		return in.Upstream.Start()
	case Leave:
		return j.injectLeave(i)
	case Break:
		faults = brokenAnswers()[i.Variant%len(brokenAnswers())]
	case Foreign:
		faults.Raw = foreignAnswers()[i.Variant%len(foreignAnswers())]
	case Limit:
		i.Rate = 1 + i.Variant%4
		faults.RateLimit = strconv.Itoa(i.Rate)
	case Late:
		faults.Slow = jsonc.Duration(time.Duration(500+i.Variant%2000) * time.Millisecond)
	}
	if err := j.fleet.SetFaults(in, faults); err != nil {
		return err
	}
	time.Sleep(i.Length)
	return j.fleet.SetFaults(in, server.Faults{})
}

// injectLeave lets a backend server announce its stop, serve on, and end. Another
// process then takes its place.
func (j *injector) injectLeave(i *Injection) error {
	const announcementInFlight = 100 * time.Millisecond
	in := j.fleet.Instances[i.Node]
	if err := j.fleet.SetFaults(in, server.Faults{Leave: true}); err != nil {
		return err
	}
	time.Sleep(announcementInFlight)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := (admin.Client{Addr: in.AdminAddr}).MarkBackendLeaving(ctx); err == nil {
		i.Acked = time.Now()
	} // else the node is stopped or frozen, and the server repeats it
	time.Sleep(i.Length)
	in.Upstream.Kill()
	return in.Upstream.Start()
}
