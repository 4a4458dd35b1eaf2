package link

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Listener is a TCP listener whose end cuts no connection that its kernel has
// taken. Close lets Accept hand out what is pending before it reports the end;
// the plain listener resets those connections, although their callers may have
// sent a request, and more may come until the goroutine that waits in Accept
// has noticed the end.
//
// Close does not wait: the end is reached when Accept returns an error.
type Listener struct {
	*net.TCPListener
	closing atomic.Bool
	ended   bool
	pending []net.Conn // of the goroutine that calls Accept
}

// Listen returns a listener at a TCP address.
func Listen(addr string) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("%T is not a TCP listener", l)
	}
	return &Listener{TCPListener: t}, nil
}

// Accept implements net.Listener. It is for one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.ended {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.closing.Load() {
			return c, err
		}
		l.end()
	}
	if len(l.pending) == 0 {
		return nil, net.ErrClosed
	}
	c := l.pending[0]
	l.pending = l.pending[1:]
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closing.Store(true)
	return l.SetDeadline(time.Unix(1, 0)) // wakes Accept up
}

// end takes what the kernel has pending and closes the socket, with nothing in
// between. It runs on the goroutine of Accept, which then does not hold the
// socket open.
func (l *Listener) end() {
	l.ended = true
	var fds []int
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { fds = acceptAll(int(fd)) })
	}
	_ = l.TCPListener.Close()
	for _, fd := range fds {
		if c := connOf(fd); c != nil {
			l.pending = append(l.pending, c)
		}
	}
}

// acceptAll accepts until nothing is pending.
func acceptAll(listener int) []int {
	var fds []int
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return fds
		}
		fds = append(fds, fd)
	}
}

// connOf returns the connection of a socket, or nil if it can't be used.
func connOf(fd int) net.Conn {
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}
