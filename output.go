package tanagerchute

// Output is where the lines of the log go. It never blocks: a line that it has
// no room for is dropped.
type Output interface {
	// Crowded reports whether lines that can be spared should not be logged.
	Crowded() bool
	// Dropped returns the number of lines that were not written.
	Dropped() uint64
}
