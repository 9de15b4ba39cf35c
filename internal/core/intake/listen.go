package intake

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// maxBuffer and minBuffer bound the kernel's receive buffer of a connection in bytes.
	// Usual requests fit in the smaller.
	maxBuffer = 256 << 10
	minBuffer = 16 << 10
	// minQueue is the smallest length of the queue of connections that are not accepted yet.
	// A client that meets a full queue tries again after a second.
	minQueue = 64
	// queueShare is the inverse of that length as a part of the listener's connections.
	queueShare = 4
	// kernelFactor is the ratio of the receive buffer that the kernel reserves to the size
	// that is asked for.
	kernelFactor = 2
)

// setBuffers divides what the listener's connections may hold unread by their number,
// with those that are not accepted yet, which receive data too.
func (s *Share) setBuffers(unread int64) {
	s.queue = max(minQueue, s.maxConns/queueShare)
	s.buffer = maxBuffer
	if unread <= 0 {
		return
	}
	if n := int(unread / minBuffer); s.maxConns+s.queue > n {
		s.maxConns = max(1, min(s.maxConns, n-n/queueShare))
		s.queue = max(1, n-s.maxConns)
	}
	s.buffer = int(min(maxBuffer, unread/int64(s.maxConns+s.queue)))
}

// Listen opens the share's TCP listener. Its connections count to the share.
func (s *Share) Listen(address string) (net.Listener, error) {
	// Connections inherit the buffer, also while they are not accepted yet.
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return control(rc, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, s.buffer/kernelFactor)
		})
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := boundQueue(l, s.queue); err != nil {
		_ = l.Close()
		return nil, err
	}
	w := &listener{Listener: l, share: s, closed: make(chan struct{})}
	go w.sweep()
	return w, nil
}

// boundQueue sets the length of the queue of connections that are not accepted yet. The
// standard library uses the kernel's limit.
func boundQueue(l net.Listener, length int) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return control(rc, func(fd int) error { return unix.Listen(fd, length) })
}

func control(rc syscall.RawConn, f func(fd int) error) error {
	var err error
	if controlErr := rc.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
