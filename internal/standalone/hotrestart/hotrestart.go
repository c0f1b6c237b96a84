package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNotTCP is the error of a listener that is not a *net.TCPListener.
var ErrNotTCP = errors.New("not a TCP listener")

// newestListener is the index, within a SO_REUSEPORT group of two, of the listener that joined last.
const newestListener = 1

// Listen listens at a TCP address with SO_REUSEPORT, so that another process may listen there, too; the
// kernel distributes new connections among the listeners. Where SO_REUSEPORT is not available it listens
// alone, as net.Listen does. A redirection that an earlier process attached to the group is removed, so that
// both processes get connections.
func Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) // after an error, it listens alone
		})
	}}
	// Go uses MPTCP where the kernel has it, and an MPTCP listener doesn't support the redirection (EOPNOTSUPP).
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	controlSocket(l, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0) // fails if none is attached
	})
	return l, nil
}

// Steer redirects new connections to the listener that joined the group second, which is the newer process's. If the
// group has no second listener, this one still gets them, because for an index beyond the group the kernel falls back
// to its hash. The error is ErrNotTCP or one of the kernel; after an error, new connections still arrive here.
func Steer(l net.Listener) error {
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: newestListener}}
	return controlSocket(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
}

// controlSocket calls a function with the file descriptor of a listener.
func controlSocket(l net.Listener, call func(fd int) error) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("redirect connections: %w", ErrNotTCP)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("redirect connections: %w", err)
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return fmt.Errorf("redirect connections: %w", err)
	}
	if callErr != nil {
		return fmt.Errorf("redirect connections: %w", callErr)
	}
	return nil
}
