package platform

// The latency of a data node's answers.

import (
	"sync"
	"time"
)

// latency estimates how long a node's answers take, as TCP estimates round-trip times.
type latency struct {
	mu              sync.Mutex
	mean, deviation time.Duration
}

func (l *latency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean, l.deviation = d, d/2
		return
	}
	l.deviation += ((d - l.mean).Abs() - l.deviation) / 4
	l.mean += (d - l.mean) / 8
}

// upperBound returns the time within which all but the slowest answers arrive.
func (l *latency) upperBound() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		return maxSilence
	}
	return min(max(l.mean+4*l.deviation, minSilence), maxSilence)
}
