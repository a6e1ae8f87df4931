package net

// When the bytes in a connection's ring arrived: a client may send requests ahead, and the time of each
// counts from the arrival of its own last byte.

import (
	"slices"
	"time"
)

const (
	maxArrivalMarks = 16
	// Reads that are this close together count as one, at the time of the first.
	arrivalResolution = 5 * time.Millisecond
)

// arrivalMark says when the bytes behind the mark before it, up to its end, arrived.
type arrivalMark struct {
	end int64 // a position among all bytes that were put into the ring
	at  time.Time
}

// arrivalMarks holds when the bytes that wait in a ring arrived. It keeps a bounded number of marks: bytes
// that share one count from the arrival of the first of them, so that nobody is told more time than is left.
// Its zero value is ready for use.
type arrivalMarks struct {
	total int64 // bytes that have been put into the ring
	marks []arrivalMark
}

// add records n bytes that were put into the ring.
func (m *arrivalMarks) add(n int, at time.Time) {
	m.total += int64(n)
	if last := len(m.marks) - 1; last >= 0 && at.Sub(m.marks[last].at) < arrivalResolution {
		m.marks[last].end = m.total
		return
	}
	m.marks = append(m.marks, arrivalMark{m.total, at})
	if len(m.marks) > maxArrivalMarks {
		m.mergeClosest()
	}
}

// mergeClosest merges the two neighbours that are least apart in time. The last mark stays by itself: the
// bytes that have just come complete the next request more often than others.
func (m *arrivalMarks) mergeClosest() {
	closest := 0
	gap := func(i int) time.Duration { return m.marks[i+1].at.Sub(m.marks[i].at) }
	for i := range len(m.marks) - 2 {
		if gap(i) < gap(closest) {
			closest = i
		}
	}
	m.marks[closest].end = m.marks[closest+1].end
	m.marks = slices.Delete(m.marks, closest+1, closest+2)
}

// take returns when the last of the bytes that have been removed from the ring arrived, and forgets these.
// left is the number of bytes that are still in the ring.
func (m *arrivalMarks) take(left int) (at time.Time) {
	removed := m.total - int64(left)
	for i, mark := range m.marks {
		if at = mark.at; mark.end >= removed {
			m.marks = slices.Delete(m.marks, 0, i)
			break
		}
	}
	if left == 0 {
		m.marks = m.marks[:0]
	}
	return at
}
