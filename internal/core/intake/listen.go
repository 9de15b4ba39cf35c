package intake

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// maxBuffer and minBuffer bound the kernel's receive buffer of a connection, and its send
	// buffer, in bytes. Usual requests and answers fit in the smaller.
	maxBuffer = 256 << 10
	minBuffer = 16 << 10
	// minQueue is the smallest length of the queue of connections that are not accepted yet.
	// A client that meets a full queue tries again after a second.
	minQueue = 64
	// queueShare is the inverse of that length as a part of the listener's connections.
	queueShare = 4
	// kernelFactor is the ratio of the buffer that the kernel reserves to the size that is
	// asked for.
	kernelFactor = 2
)

// setBuffers divides what the kernel may hold for the listener's connections by their
// buffers, with those of connections that are not accepted yet, which receive data too.
func (s *Share) setBuffers() {
	s.queue, s.buffer = max(minQueue, s.maxConns/queueShare), maxBuffer
	if s.kernel <= 0 {
		return
	}
	perConn := 1
	if !s.TrustReaders {
		perConn = 2
	}
	if buffers := s.kernel / minBuffer; int64(s.maxConns*perConn+s.queue) > buffers {
		s.maxConns = min(s.maxConns, max(minConns, int(buffers)*queueShare/(perConn*queueShare+1)))
		s.queue = max(1, int(buffers)-s.maxConns*perConn)
	}
	s.buffer = int(min(maxBuffer, s.kernel/int64(s.maxConns*perConn+s.queue)))
}

// Listen opens the share's TCP listener. Its connections count to the share.
func (s *Share) Listen(address string) (net.Listener, error) {
	s.setBuffers()
	s.maxOpen = max(1, int(openShare*float64(s.maxConns)))
	// Connections inherit the options, also while they are not accepted yet.
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return control(rc, func(fd int) error {
			size := s.buffer / kernelFactor
			if !s.TrustReaders {
				if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size); err != nil {
					return err
				}
			}
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
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
