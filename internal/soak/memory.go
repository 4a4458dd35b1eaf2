package main

import (
	"context"
	"time"
)

// memorySampling is the interval in which the memory of the nodes is read.
const memorySampling = 20 * time.Millisecond

// watchMemory returns the most memory that each node had until ctx ended, in bytes.
func watchMemory(ctx context.Context, nodes []memoryReader) []int64 {
	peaks := make([]int64, len(nodes))
	for sleep(ctx, memorySampling) {
		for i, n := range nodes {
			peaks[i] = max(peaks[i], n.MemoryBytes())
		}
	}
	return peaks
}

// memoryReader is a process whose memory can be read.
type memoryReader interface{ MemoryBytes() int64 }

// checkMemory checks the memory of the nodes.
func (r *Result) checkMemory(e *Evidence) {
	for n, peak := range e.Peaks {
		r.check(InMemory, peak <= e.MemoryBytes, "node %d had %d MB, its memory is %d MB", n, peak>>20, e.MemoryBytes>>20)
	}
}
