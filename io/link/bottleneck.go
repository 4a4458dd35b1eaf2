package link

import (
	"sync"
	"time"
)

// Bottleneck is one direction of a simulated narrow link, which several connections may
// share. What is sent waits behind all that was sent before. It is safe for concurrent use.
type Bottleneck struct {
	bytesPerSecond float64
	mu             sync.Mutex
	freeAt         time.Time // when all that was sent has passed
}

// NewBottleneck returns a bottleneck with the given rate, which is positive.
func NewBottleneck(bytesPerSecond float64) *Bottleneck {
	return &Bottleneck{bytesPerSecond: bytesPerSecond}
}

// Send sends n bytes and returns how long they take to pass.
func (b *Bottleneck) Send(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.freeAt.Before(now) {
		b.freeAt = now
	}
	b.freeAt = b.freeAt.Add(time.Duration(float64(n) / b.bytesPerSecond * float64(time.Second)))
	return b.freeAt.Sub(now)
}
