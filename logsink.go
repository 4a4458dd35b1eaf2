package tanagerchute

// LogSink reports the state of the log output, which buffers lines. The output
// never blocks: a line is dropped if the buffer is full.
type LogSink interface {
	// Congested reports whether the buffer is so full that less important lines
	// should not be logged.
	Congested() bool
	// Dropped returns the number of lines that were not written.
	Dropped() uint64
}
