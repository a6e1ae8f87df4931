package platform

// The Unix socket on which processes meet, and the descriptors of sockets that pass from one to another.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnixPath is the longest path, in bytes, that the system takes for a Unix socket.
const maxUnixPath = len(unix.RawSockaddrUnix{}.Path) - 1

// reachableUnixPath returns a path for a Unix socket that the system takes: one that is too long goes by a
// descriptor of its folder. release has to be called once the path has been used.
func reachableUnixPath(path string) (reachable string, release func(), err error) {
	if len(path) <= maxUnixPath {
		return path, func() {}, nil
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	reachable = fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), filepath.Base(path))
	return reachable, func() { _ = folder.Close() }, nil
}

// listenUnix listens on a Unix socket with a path of any length.
func listenUnix(path string) (*net.UnixListener, error) {
	reachable, release, err := reachableUnixPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	return net.ListenUnix("unix", &net.UnixAddr{Name: reachable, Net: "unix"})
}

// dialUnix connects to a Unix socket with a path of any length.
func dialUnix(path string) (net.Conn, error) {
	reachable, release, err := reachableUnixPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	return net.DialTimeout("unix", reachable, linkTimeout)
}

// packetConn returns the UDP socket that a file holds.
func packetConn(f *os.File) (*net.UDPConn, error) {
	p, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	u, ok := p.(*net.UDPConn)
	if !ok {
		_ = p.Close()
		return nil, errors.New("received a socket that is not a UDP socket")
	}
	return u, nil
}

// receivedFiles returns the files that came with a message as ancillary data.
func receivedFiles(oob []byte) (files []*os.File, err error) {
	msgs, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for i := range msgs {
		fds, err := unix.ParseUnixRights(&msgs[i])
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "inherited"))
		}
	}
	return files, nil
}

// withFDs calls f with the descriptors of the given sockets.
func withFDs(sockets []any, fds []int, f func(fds []int) error) error {
	if len(sockets) == 0 {
		return f(fds)
	}
	return withFD(sockets[0], func(fd int) error { return withFDs(sockets[1:], append(fds, fd), f) })
}

// withFD calls f with a socket's descriptor, which stays open while f runs.
func withFD(socket any, f func(fd int) error) error {
	c, ok := socket.(syscall.Conn)
	if !ok {
		return errors.New("no socket to hand over")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if cerr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}
