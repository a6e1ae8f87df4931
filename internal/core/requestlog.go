package core

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"lapislever/balance"
)

// String is the ending's name in the log.
func (e QueryOutcome) String() string {
	switch e {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	}
	return "failed"
}

// logLater has a line logged behind the Step, when all is carried out: to log takes a look at the clock, and
// may be held up.
func (c *Core) logLater(line func()) { c.logs = append(c.logs, line) }

// flushLogs logs what was put off.
func (c *Core) flushLogs() {
	for i, line := range c.logs {
		line()
		c.logs[i] = nil
	}
	c.logs = c.logs[:0]
}

// logEnd logs how a query that was not answered ended and why, with all its attempts: one line tells each
// retry and what came before it.
func (c *Core) logEnd(q *Query, how, why string) {
	if !c.cfg.Log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	open := q.open
	c.logLater(func() {
		age, left := time.Duration(0), time.Duration(0)
		if open {
			age, left = micros(c.now-q.began), micros(q.deadline-c.now)
		}
		c.cfg.Log.Info("request ended", "query", q.Name, "class", q.Class, "how", how, "why", why, "age", age,
			"left", left, "attempts", c.attemptsText(q))
	})
}

// attemptsText lists a query's attempts as shard, replica, and when each began and ended how, in ms of the
// query's age.
func (c *Core) attemptsText(q *Query) string {
	var text strings.Builder
	for _, p := range q.parts {
		for _, a := range p.tries {
			fmt.Fprintf(&text, "%d>%s@%d", a.Shard, c.serverText(a.Replica), micros(a.sent-q.began).Milliseconds())
			if a.over {
				fmt.Fprintf(&text, "-%d:%s", micros(a.ended-q.began).Milliseconds(), a.outcome)
			}
			text.WriteString("; ")
		}
	}
	return text.String()
}

// serverText is a server's name, or its number where nobody knows that.
func (c *Core) serverText(id balance.ReplicaID) string {
	if c.cfg.ServerName != nil {
		if name, ok := c.cfg.ServerName(id); ok {
			return name
		}
	}
	return strconv.FormatUint(uint64(id), 16)
}

func micros(m balance.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
