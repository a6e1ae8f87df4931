package balance

import (
	"cmp"
	"math"
)

// A message between peers consists of a checksum byte and entries of five bytes: three of the hash of a
// replica's ID, one of its latency per part and one of the sample weight behind that.

const (
	maxMessageSize    = 256
	entrySize         = 5
	minEncodedLatency = 1_000.0 // us, the smallest latency that an entry can encode
	latencySteps      = 16.0    // per doubling of the latency
	countSteps        = 16.0    // per sample
)

type message struct {
	buf   []byte
	limit int // maximum size in bytes; 0: maxMessageSize
}

// add appends an entry. It returns false if the message is full or n is too small to be encoded.
func (m *message) add(hash uint32, latency, n float64) bool {
	c := byte(min(255, n*countSteps))
	if c == 0 || m.full() {
		return false
	}
	if m.buf == nil {
		m.buf = make([]byte, 1, maxMessageSize)
	}
	x := byte(min(255, max(0, latencySteps*math.Log2(latency/minEncodedLatency))))
	m.buf = append(m.buf, byte(hash), byte(hash>>8), byte(hash>>16), x, c)
	return true
}

func (m *message) full() bool {
	return len(m.buf)+entrySize > min(maxMessageSize, cmp.Or(m.limit, maxMessageSize))
}

// encode sets the checksum and returns the message; it is empty if nothing was added.
func (m *message) encode() string {
	if len(m.buf) > 0 {
		m.buf[0] = checksum(m.buf[1:])
	}
	return string(m.buf)
}

// forEachEntry calls f for each entry of a message. It ignores a message that is truncated or has a wrong
// checksum.
func forEachEntry(b []byte, f func(h uint32, latency, n float64)) {
	if len(b)%entrySize != 1 || checksum(b[1:]) != b[0] {
		return
	}
	for e := b[1:]; len(e) > 0; e = e[entrySize:] {
		latency := minEncodedLatency * math.Exp2((float64(e[3])+0.5)/latencySteps)
		f(uint32(e[0])|uint32(e[1])<<8|uint32(e[2])<<16, latency, float64(e[4])/countSteps)
	}
}

// replicaHash shortens a replica's ID to 24 bits.
func replicaHash(id ReplicaID) uint32 { return uint32(uint64(id) * 0x9e3779b97f4a7c15 >> 40) }

func checksum(b []byte) byte {
	sum := byte(len(b))
	for _, x := range b {
		sum = sum*31 + x
	}
	return sum
}
