package link

// hold keeps Read from reading.
type hold struct {
	ended    chan struct{} // closed when Read may return
	released bool          // it may read on
}

// Hold makes Read read nothing more. It blocks until Release is called, the server interrupts it
// with a read deadline, or the connection is closed. ok is false, and nothing is held, if the
// caller has sent more than was read, or the connection is one of HTTP/2. numRead is the number of
// bytes that Read has returned in all.
func (c *CallerConn) Hold() (numRead int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		return c.numRead, false
	}
	if c.hold == nil {
		c.hold = &hold{ended: make(chan struct{})}
		_ = c.applyDeadline() // interrupts Read; fails only if the connection is closed
	}
	if reading := c.reading; reading != nil {
		c.mu.Unlock()
		<-reading
		c.mu.Lock()
	}
	if o, err := outstanding(c.Conn); err == nil && o.Unread > 0 {
		c.release()
		return c.numRead, false
	}
	return c.numRead, true
}

// Release lets Read read on after Hold.
func (c *CallerConn) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
}

// release implements Release. The caller holds mu.
func (c *CallerConn) release() {
	c.endHold(true)
	c.hold = nil
	_ = c.applyDeadline() // fails only if the connection is closed
}

// endHold lets Read return, or read on if released is set, if the connection is held. The
// caller holds mu.
func (c *CallerConn) endHold(released bool) {
	if c.hold == nil {
		return
	}
	select {
	case <-c.hold.ended:
	default:
		c.hold.released = released
		close(c.hold.ended)
	}
}

// beginRead waits while the connection is held. It returns false if Read has to return.
func (c *CallerConn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.hold != nil {
		h := c.hold
		c.mu.Unlock()
		<-h.ended
		c.mu.Lock()
		if !h.released {
			return false
		}
	}
	c.reading = make(chan struct{})
	return true
}

// endRead records the end of a read of n bytes. again is set if it was interrupted by Hold.
func (c *CallerConn) endRead(n int) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.reading)
	c.reading = nil
	c.numRead += int64(n)
	return n == 0 && c.hold != nil
}
