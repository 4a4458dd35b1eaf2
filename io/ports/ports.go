// Package ports hands out loopback ports to processes that start servers, without two of them
// getting the same one.
//
// A port that is free when a process looks can be taken before the process listens on it, or
// while a server on it is being restarted. So a process first reserves a block of ports: it
// binds the block's first port for as long as it lives, and hands out only the others. The
// kernel ends the reservation with the process, however that ends.
//
// The ports lie below the range from which the kernel assigns the ports of outgoing
// connections, so that no connection occupies a port that was handed out.
//
// # Usage
//
//	addrs, err := ports.Addrs(9) // nine addresses on 127.0.0.1
//	port, err := ports.Pair("127.7.1.1") // free there, the next one on 127.0.0.1
package ports

import (
	"net"
	"os"
	"slices"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

const (
	firstPort = 10000 // first port of the first block
	lastPort  = 32000 // end of the last block
	blockSize = 500   // ports of a block, with the one that reserves it
	// maxBlocks bounds the blocks of a process, so that there are some left for others. A
	// process that needs more ports hands out those of its blocks again, in turn.
	maxBlocks = 4
)

// loopback is the address on which blocks are reserved.
const loopback = "127.0.0.1"

// ErrNone is returned when no port is left.
var ErrNone = errors.New("too few free ports on " + loopback)

// block is a reserved block of ports.
type block struct {
	first int            // port that reserves the block
	lock  net.PacketConn // bound to first until the process ends
}

// pool hands out the ports of the blocks that it has reserved.
type pool struct {
	mu     sync.Mutex
	blocks []block
	cur    int // block whose ports are handed out
	next   int // offset of the next port in it, 0 if there is none
}

// own is the pool of this process.
var own pool

// Addrs returns n addresses on 127.0.0.1 on which no process listens. No other process
// gets them from this package before this process has ended.
func Addrs(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		port, err := own.take(1, func(port int) bool { return isFree(loopback, port) })
		if err != nil {
			return nil, err
		}
		out = append(out, address(loopback, port))
	}
	return out, nil
}

// Pair returns a port that is free at ip and whose successor is free at 127.0.0.1. No other
// process gets either from this package before this process has ended.
func Pair(ip string) (int, error) {
	return own.take(2, func(port int) bool { return isFree(ip, port) && isFree(loopback, port+1) })
}

// take returns the first of n consecutive ports for which free returns true.
func (p *pool) take(n int, free func(port int) bool) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range maxBlocks * blockSize {
		if p.next == 0 || p.next+n > blockSize {
			if err := p.advance(); err != nil {
				return 0, err
			}
		}
		port := p.blocks[p.cur].first + p.next
		p.next += n
		if free(port) {
			return port, nil
		}
	}
	return 0, ErrNone
}

// advance turns to the next block: to one that is reserved for it, as long as that is possible,
// then to the one whose ports were handed out first.
func (p *pool) advance() error {
	if len(p.blocks) < maxBlocks {
		if b, ok := p.reserve(); ok {
			p.blocks = append(p.blocks, b)
			p.cur, p.next = len(p.blocks)-1, 1
			return nil
		}
	}
	if len(p.blocks) == 0 {
		return ErrNone
	}
	p.cur, p.next = (p.cur+1)%len(p.blocks), 1
	return nil
}

// reserve reserves a block that no process has. It begins to look at a place derived from the
// process id, because servers that this package knows nothing of often begin at the lower end.
func (p *pool) reserve() (block, bool) {
	const count = (lastPort - firstPort) / blockSize
	for i := range count {
		first := firstPort + (os.Getpid()+i)%count*blockSize
		if slices.ContainsFunc(p.blocks, func(b block) bool { return b.first == first }) {
			continue
		}
		// Datagrams have ports of their own, so that the reservation keeps no server from the port.
		if lock, err := net.ListenPacket("udp", address(loopback, first)); err == nil {
			return block{first: first, lock: lock}, true
		}
	}
	return block{}, false
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", address(ip, port))
	if err != nil {
		return false
	}
	_ = l.Close() // the listener only probed the port
	return true
}
