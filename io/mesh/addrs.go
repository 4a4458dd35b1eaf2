package mesh

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// Ports are handed out from below the range from which the kernel takes the
// ports of outgoing connections, so that none of those is in the way later.
const (
	firstPort = 12000
	lastPort  = 32000
)

var ports struct {
	mu   sync.Mutex
	next int
}

// FreeAddrs returns n loopback addresses that nothing listens at. Processes
// that ask at the same time start their search at different places.
func FreeAddrs(n int) ([]string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + (os.Getpid()*997)%(lastPort-firstPort)
	}
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("no free port")
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
