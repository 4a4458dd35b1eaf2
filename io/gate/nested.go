package gate

import "time"

// StartNested records that the backend server makes a nested call with the given
// trace id and depth. The function that it returns must be called when the nested
// call has ended.
func (g *Gate) StartNested(trace string, depth int) func(failed bool) {
	parentDepth := depth - 1
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callTracker.StartNested(time.Now(), trace, parentDepth)
	return func(failed bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.callTracker.EndNested(time.Now(), trace, parentDepth, failed)
	}
}

// Deadline returns the latest deadline of the calls in flight with the given trace
// id. Nested calls inherit it. It reports false if there are no such calls.
func (g *Gate) Deadline(trace string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callTracker.Deadline(trace)
}
