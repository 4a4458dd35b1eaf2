package procs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// MemoryBytes returns the anonymous memory of the process, 0 if it has ended. It may be called
// while the process is started again.
func (p *Process) MemoryBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid.Load()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}
