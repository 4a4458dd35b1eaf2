package memory

import (
	"context"
	"runtime/metrics"
	"time"
)

const (
	watchInterval = 100 * time.Millisecond
	// highShare is the share of the limit above which the use counts as high. It stops
	// counting as high below lowShare, so that a use that wavers is reported once.
	highShare = 0.8
	lowShare  = 0.7
)

// Use is what the process uses, in bytes.
type Use struct {
	Process int64 // all memory that the runtime holds
	Live    int64 // objects on the heap, those included that are not collected yet
}

// Metrics of the runtime that Use is computed from.
const (
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricObjects  = "/memory/classes/heap/objects:bytes"
)

// Read returns the present use.
func Read() Use {
	s := []metrics.Sample{{Name: metricTotal}, {Name: metricReleased}, {Name: metricObjects}}
	metrics.Read(s)
	return Use{
		Process: int64(s[0].Value.Uint64() - s[1].Value.Uint64()),
		Live:    int64(s[2].Value.Uint64()),
	}
}

// Watch reports when the use of memory becomes high.
type Watch struct {
	LimitBytes int64     // of the instance
	OnHigh     func(Use) // called when the use rises above highShare of the limit
}

// Run watches until ctx ends.
func (w Watch) Run(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	high := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		u := Read()
		share := float64(u.Process) / float64(w.LimitBytes)
		if share > highShare && !high {
			w.OnHigh(u)
		}
		high = share > highShare || high && share > lowShare
	}
}
