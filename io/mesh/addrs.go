package mesh

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// Range of the ports that FreeAddrs searches. It lies below the range from which the
// kernel assigns the ports of outgoing connections, so that no such connection
// occupies a port between FreeAddrs and the listen call.
const (
	firstPort = 12000
	lastPort  = 32000
)

var ports struct {
	mu   sync.Mutex
	next int
}

// FreeAddrs returns n loopback addresses on which no process listens. The search
// starts at a port derived from the process id, so that processes that call it at
// the same time search different ports.
func FreeAddrs(n int) ([]string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + (os.Getpid()*997)%(lastPort-firstPort)
	}
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("too few free ports on 127.0.0.1")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		if ports.next++; ports.next >= lastPort {
			ports.next = firstPort
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			out = append(out, addr)
		}
	}
	return out, nil
}
