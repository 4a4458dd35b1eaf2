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
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Outstanding{}, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Outstanding{}, errors.Wrap(err, "socket")
	}
	var o Outstanding
	var ioctlErr error
	err = raw.Control(func(fd uintptr) {
		if o.Unread, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ); ioctlErr == nil {
			o.Unsent, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	if err == nil {
		err = ioctlErr
	}
	if err != nil {
		return Outstanding{}, errors.Wrap(err, "queues of the socket")
	}
	return o, nil
}
