package link

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Listener is a TCP listener that loses no pending connections when it is closed.
// After Close, Accept first returns the connections that the kernel has accepted,
// and then net.ErrClosed. A net.TCPListener resets these connections, although
// their callers may have sent a request. More of them can arrive until the
// goroutine that waits in Accept has noticed Close.
//
// Close does not wait. The socket is closed once Accept has returned an error.
type Listener struct {
	*net.TCPListener
	closing      atomic.Bool
	socketClosed bool
	pending      []net.Conn // accepted before the socket was closed, only used by Accept
}

// Listen listens at a TCP address.
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

// Accept implements net.Listener. It must not be called concurrently.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.socketClosed {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.closing.Load() {
			return c, err
		}
		l.acceptPendingAndClose()
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
	return l.SetDeadline(time.Unix(1, 0)) // unblocks Accept
}

// acceptPendingAndClose accepts the connections that are pending in the kernel and
// closes the socket at once, so that few can arrive in between. It runs on the
// goroutine of Accept, since a blocked Accept would keep the socket open.
func (l *Listener) acceptPendingAndClose() {
	l.socketClosed = true
	var fds []int
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { fds = acceptPending(int(fd)) })
	}
	_ = l.TCPListener.Close()
	for _, fd := range fds {
		if c := connFromFD(fd); c != nil {
			l.pending = append(l.pending, c)
		}
	}
}

// acceptPending accepts connections until none is pending, and returns their file
// descriptors.
func acceptPending(listener int) []int {
	var fds []int
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return fds
		}
		fds = append(fds, fd)
	}
}

// connFromFD returns the connection of a socket, or nil if it can't be used. It
// closes fd.
func connFromFD(fd int) net.Conn {
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}
