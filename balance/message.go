package balance

import (
	"cmp"
	"math"
)

// The form of a message between peers: a byte of check, then entries of five bytes: three of the hash of a
// replica's id, one of its time per part and one of the count that stands behind it.

const (
	maxMessage = 256
	entrySize  = 5
	timeUnit   = 1_000.0 // us, the least time that an entry can name
	timeSteps  = 16.0    // for each doubling
	countSteps = 16.0    // for each part
)

type message struct {
	b    []byte
	most int // bytes; 0: maxMessage
}

// add writes an entry and reports whether its count is large enough to be written.
func (m *message) add(h uint32, took, n float64) bool {
	c := byte(min(255, n*countSteps))
	if c == 0 || m.full() {
		return false
	}
	if m.b == nil {
		m.b = make([]byte, 1, maxMessage)
	}
	x := byte(min(255, max(0, timeSteps*math.Log2(took/timeUnit))))
	m.b = append(m.b, byte(h), byte(h>>8), byte(h>>16), x, c)
	return true
}

func (m *message) full() bool {
	return len(m.b)+entrySize > min(maxMessage, cmp.Or(m.most, maxMessage))
}

// text closes the message; it is empty where nothing was added.
func (m *message) text() string {
	if len(m.b) > 0 {
		m.b[0] = check(m.b[1:])
	}
	return string(m.b)
}

// entries calls f for each entry. A message that is cut, or does not fit its check, has none.
func entries(b []byte, f func(h uint32, took, n float64)) {
	if len(b)%entrySize != 1 || check(b[1:]) != b[0] {
		return
	}
	for e := b[1:]; len(e) > 0; e = e[entrySize:] {
		took := timeUnit * math.Exp2((float64(e[3])+0.5)/timeSteps)
		f(uint32(e[0])|uint32(e[1])<<8|uint32(e[2])<<16, took, float64(e[4])/countSteps)
	}
}

// hash shortens a replica's id.
func hash(id ReplicaID) uint32 { return uint32(uint64(id) * 0x9e3779b97f4a7c15 >> 40) }

func check(b []byte) byte {
	sum := byte(len(b))
	for _, x := range b {
		sum = sum*31 + x
	}
	return sum
}
