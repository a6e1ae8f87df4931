package platform

// The new process's first step of an upgrade: it asks the process that serves, if there is one, for its
// sockets and its state. Failures are logged, and the coordinator starts without the takeover.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// linkAttempts is the number of dials before a start gives up.
const linkAttempts = 3

// socketPath returns the path of the Unix socket on which the process that serves an address can be asked
// for its sockets. It is empty where there is none.
func socketPath(cfg *Config) string { return addressPath(cfg.TempDir, cfg.Listen, ".sock") }

// receivedSockets is what a new process receives from the one that it takes over from.
type receivedSockets struct {
	link     *link
	hello    linkMessage
	listener net.Listener
	peers    *net.UDPConn
	fleet    *net.UDPConn
}

// requestSockets asks the process that serves, if there is one, for its sockets, and reports whether there
// is one. A socket file that nobody listens on is a leftover of a process that died. A process that
// listens but does not answer is asked again: without its hello the coordinator would forget the
// operators' cordons.
func requestSockets(cfg *Config, log *slog.Logger) (received *receivedSockets, exists bool) {
	path := socketPath(cfg)
	if path == "" {
		return nil, false
	}
	if _, err := os.Lstat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, false
	}
	for range linkAttempts {
		c, err := dialUnix(path)
		if err != nil {
			log.Info("upgrade: there is no process to take over from", "err", err)
			return nil, exists
		}
		exists = true
		received = &receivedSockets{link: newLink(c.(*net.UnixConn), log)}
		if err = received.receive(cfg); err == nil {
			log.Info("upgrade: taking over", "sockets", received.hello.Sockets, "out", len(received.hello.Cordons),
				"most", received.hello.MaxSockets, "link_version", received.hello.Version)
			return received, true
		}
		log.Warn("upgrade: the sockets were not received", "err", err)
		received.discard()
	}
	log.Error("upgrade: takeover failed: starting beside the old process")
	return nil, true
}

// receive sends this process's hello and reads the old process's hello with the sockets.
func (r *receivedSockets) receive(cfg *Config) error {
	hello := linkMessage{Version: linkVersion, Listen: cfg.Listen, Peers: cfg.PeerListen,
		Rules: cfg.ruleMessages(nil, time.Now())}
	if err := r.link.writeHello(hello); err != nil {
		return err
	}
	_ = r.link.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	text, oob := make([]byte, 4096), make([]byte, unix.CmsgSpace(3*4))
	n, oobn, _, _, err := r.link.conn.ReadMsgUnix(text, oob)
	if err != nil {
		return err
	}
	r.link.reader = bufio.NewReader(io.MultiReader(strings.NewReader(string(text[:n])), r.link.conn))
	files, err := receivedFiles(oob[:oobn])
	defer func() {
		for _, f := range files {
			_ = f.Close()
		}
	}()
	if err != nil {
		return err
	}
	if r.hello, err = r.link.readMessage(); err != nil {
		return err
	}
	_ = r.link.conn.SetReadDeadline(time.Time{})
	if len(files) != len(r.hello.Sockets) {
		return fmt.Errorf("received %d sockets, expected %d", len(files), len(r.hello.Sockets))
	}
	for i, what := range r.hello.Sockets {
		switch what {
		case "listen":
			if r.listener, err = net.FileListener(files[i]); err != nil {
				return err
			}
		case "peers":
			if r.peers, err = packetConn(files[i]); err != nil {
				return err
			}
		case "fleet":
			if r.fleet, err = packetConn(files[i]); err != nil {
				return err
			}
		}
	}
	if r.listener == nil {
		return errors.New("received no listener")
	}
	return nil
}

// discard closes the received sockets and the link after a takeover that failed.
func (r *receivedSockets) discard() {
	if r.listener != nil {
		_ = r.listener.Close()
	}
	for _, c := range []*net.UDPConn{r.peers, r.fleet} {
		if c != nil {
			_ = c.Close()
		}
	}
	r.link.close()
}
