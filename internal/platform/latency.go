package platform

// How long a data node's answers take.

import (
	"sync"
	"time"
)

// latency follows how long a node's answers take, as TCP does its round trips.
type latency struct {
	mu          sync.Mutex
	mean, stray time.Duration
}

func (l *latency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean, l.stray = d, d/2
		return
	}
	l.stray += ((d - l.mean).Abs() - l.stray) / 4
	l.mean += (d - l.mean) / 8
}

// most is what all but the very latest answers take.
func (l *latency) most() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		return silentMost
	}
	return min(max(l.mean+4*l.stray, silentLeast), silentMost)
}
