package platform

// The link between the two processes of an upgrade, and the messages on it. Nobody waits for the other side.

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/fleet"
)

const (
	linkTimeout    = time.Second // for the other side's first message
	maxLinkMessage = 16 << 20    // bytes of one message

	// linkVersion is stated in the hellos, so that the logs tell which versions have met; builds before it state
	// none. A version may add fields, which others ignore, and takes what a hello lacks as not to be had.
	linkVersion = 1
)

// errTooLong ends a link on which a message exceeds maxLinkMessage.
var errTooLong = errors.New("a message is too long")

// linkMessage is one line on the link; "old" and "new" name the process that sends the field. Each side's
// first message is its hello; the old process's hello carries the sockets as ancillary data.
type linkMessage struct {
	Version      int                                  `json:"version,omitempty"` // both: linkVersion, in hellos
	Listen       string                               `json:"listen,omitempty"`  // new: address that it wants
	Peers        string                               `json:"peers,omitempty"`   // new: and the one for peers
	Sockets      []string                             `json:"sockets,omitempty"` // old: sockets sent with it
	Cordons      map[balance.ReplicaID]balance.Micros `json:"out,omitempty"`     // old: cordons, and since when
	FleetCordons map[balance.ReplicaID]balance.Micros `json:"barred,omitempty"`  // old: fleet-wide cordons
	RestoredAt   map[balance.ReplicaID]balance.Micros `json:"since,omitempty"`   // old: when nodes were restored
	Memory       balance.Memory                       `json:"memory"`            // old: its module's memory
	Clock        balance.Micros                       `json:"now,omitempty"`     // old: its module's clock
	MaxSockets   int                                  `json:"most,omitempty"`    // old: descriptors for the new
	Ready        bool                                 `json:"ready,omitempty"`   // new: it is about to serve
	Acknowledged bool                                 `json:"heard,omitempty"`   // old: acknowledges that
	Cordon       *cordonMessage                       `json:"cordon,omitempty"`  // both: an operator's call
	Fleet        *fleet.Handover                      `json:"fleet,omitempty"`   // old: its state in the fleet
	Rules        []ruleSetMessage                     `json:"rules,omitempty"`   // both: the rules that bind
	OwnsNames    bool                                 `json:"names,omitempty"`   // old: it answers claims
	Claim        *claimMessage                        `json:"claim,omitempty"`   // new: asks for a name
	Claimed      *claimReply                          `json:"claimed,omitempty"` // old: answers that
	Held         map[string]time.Duration             `json:"held,omitempty"`    // both: names that may run
	List         *listMessage                         `json:"list,omitempty"`    // both: the list of data nodes

	update *listUpdate // waits to be encoded as List
}

type cordonMessage struct {
	Server   balance.ReplicaID `json:"server"`
	Cordoned bool              `json:"out"`
	Source   core.CordonSource `json:"by,omitempty"`
	At       balance.Micros    `json:"at"`
}

// link is one end of the connection between an old process and a new one. Messages are queued until the
// hellos are exchanged, and nobody waits for the other side.
type link struct {
	conn      *net.UnixConn
	reader    *bufio.Reader
	queue     *linkQueue
	closed    chan struct{} // closed with the connection
	closeOnce sync.Once
	log       *slog.Logger
}

func newLink(c *net.UnixConn, log *slog.Logger) *link {
	return &link{conn: c, reader: bufio.NewReader(c), queue: newLinkQueue(),
		closed: make(chan struct{}), log: log}
}

// close ends the link.
func (l *link) close() { l.closeOnce.Do(func() { close(l.closed); _ = l.conn.Close() }) }

// send queues a message.
func (l *link) send(msg linkMessage) {
	if !l.queue.put(msg) {
		l.log.Error("upgrade: the other process does not read: claim dropped")
	}
}

// writeLoop writes the queued messages. It waits for the other side as long as the link stands, and ends the
// link at an error: half a message may have been written.
func (l *link) writeLoop() {
	for {
		select {
		case <-l.queue.wake:
		case <-l.closed:
			return
		}
		for msg := l.queue.take(); msg != nil; msg = l.queue.take() {
			if err := l.writeQueued(msg); err != nil {
				l.log.Warn("upgrade: a message to the other process could not be written", "err", err)
				l.close()
				return
			}
		}
	}
}

func (l *link) writeQueued(msg *linkMessage) (err error) {
	if msg.update != nil {
		if msg.List, err = msg.update.encode(); err != nil {
			l.log.Error("upgrade: the list cannot be sent to the other process", "err", err)
			return nil
		}
	}
	_ = l.conn.SetWriteDeadline(time.Time{})
	return l.write(*msg)
}

// writeHello writes the first message, with the given descriptors as ancillary data. It waits for
// linkTimeout at most.
func (l *link) writeHello(msg linkMessage, fds ...int) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
	return l.write(msg, fds...)
}

// write writes a message, with the given descriptors as ancillary data.
func (l *link) write(msg linkMessage, fds ...int) error {
	b, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	b = append(b, '\n')
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	n, _, err := l.conn.WriteMsgUnix(b, oob, nil)
	if err == nil && n < len(b) {
		_, err = l.conn.Write(b[n:])
	}
	return err
}

// readLoop reads messages until the other side closes the link.
func (l *link) readLoop(handle func(linkMessage)) {
	for {
		msg, err := l.readMessage()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				l.log.Warn("upgrade: the link to the other process failed", "err", err)
			}
			return
		}
		handle(msg)
	}
}

// readMessage reads a message of at most maxLinkMessage bytes.
func (l *link) readMessage() (msg linkMessage, err error) {
	var line []byte
	for err = bufio.ErrBufferFull; errors.Is(err, bufio.ErrBufferFull); {
		var piece []byte
		piece, err = l.reader.ReadSlice('\n')
		if line = append(line, piece...); len(line) > maxLinkMessage {
			return msg, errTooLong
		}
	}
	if err != nil {
		return msg, err
	}
	return msg, json.Unmarshal(line, &msg)
}
