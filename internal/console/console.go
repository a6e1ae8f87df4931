// Package console implements the operators' command line for a coordinator's admin endpoint: calls, and
// the tables that show the answers. It must never hold state, nor know more of the coordinator than the
// endpoint reports.
package console

import (
	"fmt"
	"strings"
	"time"

	lnet "lapislever/internal/net"
)

const (
	callTimeout = 5 * time.Second
	maxReply    = 4 << 20
)

// StatusError is an answer with another status than success.
type StatusError struct {
	Status int
	Text   string
}

func (n *StatusError) Error() string { return fmt.Sprintf("%d: %s", n.Status, n.Text) }

// Call makes one call to an admin endpoint and returns the body of the answer. An answer that is not a
// success is returned as a *StatusError.
func Call(addr, method, path, body string, header [][2]string, extra time.Duration) ([]byte, error) {
	c, err := lnet.Dial(addr, callTimeout, maxReply)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	reply, err := c.Do(method, path, addr, header, []byte(body), time.Now().Add(callTimeout+extra))
	if err != nil {
		return nil, err
	}
	if reply.Status != 200 && reply.Status != 202 {
		return nil, &StatusError{Status: reply.Status, Text: strings.TrimSpace(string(reply.Body))}
	}
	return reply.Body, nil
}
