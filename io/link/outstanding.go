package link

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Outstanding are the bytes of a connection that the kernel holds.
type Outstanding struct {
	Unread int // received and not read
	Unsent int // written and not acknowledged by the other end, its end included
}

// errNoSocket is returned for a connection that is not a socket of the kernel.
var errNoSocket = errors.New("connection is not a socket")

// outstanding returns what the kernel holds of c.
func outstanding(c net.Conn) (Outstanding, error) {
	var o Outstanding
	err := control(c, func(fd int) (err error) {
		if o.Unread, err = unix.IoctlGetInt(fd, unix.SIOCINQ); err != nil {
			return err
		}
		o.Unsent, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	if err != nil {
		return Outstanding{}, err
	}
	return o, nil
}

// delivery tells what has become of the end of a connection.
type delivery int

const (
	onItsWay  delivery = iota // the other end has not acknowledged all bytes
	arrived                   // it has, and its own side is open
	endsAgree                 // it has closed its side as well, or the connection is reset
)

// deliveryOf returns what has become of the end of c, whose writing side is closed.
func deliveryOf(c net.Conn) (delivery, error) {
	state, err := stateOf(c)
	if err != nil {
		return onItsWay, err
	}
	switch state {
	case unix.BPF_TCP_FIN_WAIT1, unix.BPF_TCP_CLOSING, unix.BPF_TCP_LAST_ACK:
		return onItsWay, nil
	case unix.BPF_TCP_FIN_WAIT2:
		return arrived, nil
	}
	return endsAgree, nil
}

// PeerEnded reports whether the other end of c has ended its sending while c is otherwise
// open. It is false if c is reset, or not a socket.
func PeerEnded(c net.Conn) bool {
	state, err := stateOf(c)
	return err == nil && state == unix.BPF_TCP_CLOSE_WAIT
}

// stateOf returns the state of the TCP connection c.
func stateOf(c net.Conn) (state uint8, err error) {
	err = control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state = info.State
		}
		return err
	})
	return state, err
}

// discardInput discards what was received on c and not read, so that closing c does not reset
// it.
func discardInput(c net.Conn) error {
	return control(c, func(fd int) error {
		buf := make([]byte, discardSize)
		for {
			n, err := unix.Read(fd, buf)
			if n <= 0 || err != nil {
				return err
			}
		}
	})
}

// discardSize is the number of bytes that are discarded at once.
const discardSize = 4 << 10

// control calls f with the file descriptor of c.
func control(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	var ferr error
	if err := raw.Control(func(fd uintptr) { ferr = f(int(fd)) }); err != nil {
		return errors.Wrap(err, "socket")
	}
	if ferr != nil {
		return errors.Wrap(ferr, "state of the socket")
	}
	return nil
}
