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

// String returns the name of the outcome as written to the log.
func (e QueryOutcome) String() string {
	switch e {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	}
	return "failed"
}

// deferLog defers a log line until all actions of the Step are executed: logging reads the clock and may
// block.
func (c *Core) deferLog(line func()) { c.deferredLogs = append(c.deferredLogs, line) }

// flushLogs writes the deferred log lines.
func (c *Core) flushLogs() {
	for i, line := range c.deferredLogs {
		line()
		c.deferredLogs[i] = nil
	}
	c.deferredLogs = c.deferredLogs[:0]
}

// logEnd logs how and why a query ended without an answer, with all its attempts, so that one line shows
// each retry and what came before it.
func (c *Core) logEnd(q *Query, how, why string) {
	if !c.cfg.Log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	open := q.open
	c.deferLog(func() {
		age, left := time.Duration(0), time.Duration(0)
		if open {
			age, left = toDuration(c.now-q.openedAt), toDuration(q.deadline-c.now)
		}
		c.cfg.Log.Info("request ended", "query", q.Name, "class", q.Class, "how", how, "why", why, "age", age,
			"left", left, "attempts", c.attemptsText(q))
	})
}

// attemptsText lists the attempts of a query: shard and server, then for each attempt its start and, if it
// has ended, its end and outcome. Times are in ms since the query was opened.
func (c *Core) attemptsText(q *Query) string {
	var text strings.Builder
	for _, p := range q.parts {
		for _, a := range p.attempts {
			fmt.Fprintf(&text, "%d>%s@%d", a.Shard, c.serverText(a.Replica),
				toDuration(a.sent-q.openedAt).Milliseconds())
			if a.done {
				fmt.Fprintf(&text, "-%d:%s", toDuration(a.endedAt-q.openedAt).Milliseconds(), a.outcome)
			}
			text.WriteString("; ")
		}
	}
	return text.String()
}

// serverText returns the name of a server, or its ID if the name is unknown.
func (c *Core) serverText(id balance.ReplicaID) string {
	if c.cfg.ServerName != nil {
		if name, ok := c.cfg.ServerName(id); ok {
			return name
		}
	}
	return strconv.FormatUint(uint64(id), 16)
}

func toDuration(m balance.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
