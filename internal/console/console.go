// Package console is the operators' command line towards a coordinator's door: calls and the tables that show
// their answers. It must never hold what it shows, nor know more of the coordinator than the door tells.
package console

import (
	"fmt"
	"strings"
	"time"

	lnet "lapislever/internal/net"
)

const (
	callLimit = 5 * time.Second
	maxReply  = 4 << 20
)

// No is a call's answer that is not a yes.
type No struct {
	Status int
	Text   string
}

func (n *No) Error() string { return fmt.Sprintf("%d: %s", n.Status, n.Text) }

// Call makes one call at a door and returns the body of its answer. An answer that is no yes is a *No.
func Call(door, method, path, body string, header [][2]string, extra time.Duration) ([]byte, error) {
	c, err := lnet.Dial(door, callLimit, maxReply)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	reply, err := c.Do(method, path, door, header, []byte(body), time.Now().Add(callLimit+extra))
	if err != nil {
		return nil, err
	}
	if reply.Status != 200 && reply.Status != 202 {
		return nil, &No{Status: reply.Status, Text: strings.TrimSpace(string(reply.Body))}
	}
	return reply.Body, nil
}
