package net

// The ring buffer.

import (
	"bytes"
	"errors"
	"io"
)

const (
	initialRingSize = 1 << 10
	// freeRingSize is the size of a ring that is not accounted for: most requests are smaller. An empty ring
	// larger than this releases its memory.
	freeRingSize = 4 << 10
)

// ErrFull is returned when a write would exceed a ring's limit.
var ErrFull = errors.New("ring buffer is full")

// Ring is a ring buffer that grows by doubling, up to a limit. It is not safe for concurrent use.
type Ring struct {
	buf           []byte
	start, length int
	limit         int
	memory        *memoryLimit // accounts for growth beyond the free size; nil: unaccounted
}

// NewRing returns an empty ring that holds at most limit bytes.
func NewRing(limit int) *Ring { return &Ring{limit: limit} }

// Len returns the number of buffered bytes.
func (r *Ring) Len() int { return r.length }

// Free returns a contiguous free segment to read into, or nil when the ring is full. The caller then calls
// Commit with the number of bytes filled. Only Free resets an empty ring and releases its memory: Discard may
// run while a read into the free segment is in progress, and must not move that segment.
func (r *Ring) Free() []byte {
	if r.length == 0 {
		if r.start = 0; len(r.buf) > freeRingSize {
			r.release()
		}
	}
	if r.length == len(r.buf) && !r.grow(r.length+1) {
		return nil
	}
	end := r.start + r.length
	if end >= len(r.buf) {
		end -= len(r.buf)
		return r.buf[end:r.start]
	}
	return r.buf[end:]
}

// Commit appends the n bytes that the caller has written into the segment returned by Free.
func (r *Ring) Commit(n int) { r.length += n }

func (r *Ring) grow(need int) bool {
	if need <= len(r.buf) {
		return true
	}
	if need > r.limit {
		return false
	}
	size := max(initialRingSize, 2*len(r.buf))
	for size < need {
		size *= 2
	}
	size = min(size, r.limit)
	if !r.memory.reserve(accounted(size) - accounted(len(r.buf))) {
		return false
	}
	buf, old := r.memory.buffer(size), r.buf
	r.copyOut(buf[:r.length], 0)
	r.buf, r.start = buf, 0
	r.memory.reuse(old)
	return true
}

// holdsMemory reports whether the ring has memory that counts against the limit.
func (r *Ring) holdsMemory() bool { return r.memory != nil && accounted(len(r.buf)) > 0 }

// lacksMemory reports whether the ring is full and could grow if there were memory.
func (r *Ring) lacksMemory() bool { return r.length == len(r.buf) && len(r.buf) < r.limit }

// accounted returns how much of a ring's size counts against the memory limit.
func accounted(size int) int { return max(0, size-freeRingSize) }

// release frees the ring's memory and empties it.
func (r *Ring) release() {
	r.memory.release(accounted(len(r.buf)))
	r.memory.reuse(r.buf)
	r.buf, r.start, r.length = nil, 0, 0
}

// copyOut fills p with the bytes that begin at offset. The ring must hold that many.
func (r *Ring) copyOut(p []byte, offset int) {
	from := r.start + offset
	if from >= len(r.buf) {
		from -= len(r.buf)
	}
	n := copy(p, r.buf[from:])
	copy(p[n:], r.buf)
}

// Write appends all of p, or nothing and returns ErrFull.
func (r *Ring) Write(p []byte) (int, error) {
	if !r.grow(r.length + len(p)) {
		return 0, ErrFull
	}
	for left := p; len(left) > 0; {
		n := copy(r.Free(), left)
		r.length += n
		left = left[n:]
	}
	return len(p), nil
}

// Read removes bytes from the ring into p.
func (r *Ring) Read(p []byte) (int, error) {
	if r.length == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.length)
	r.copyOut(p[:n], 0)
	r.Discard(n)
	return n, nil
}

// Peek copies the bytes that begin at offset into p without removing them, and returns how many it copied.
func (r *Ring) Peek(p []byte, offset int) int {
	n := min(len(p), r.length-offset)
	if n <= 0 {
		return 0
	}
	r.copyOut(p[:n], offset)
	return n
}

// FirstSegment returns the first contiguous segment of buffered bytes without removing it.
func (r *Ring) FirstSegment() []byte { return r.buf[r.start:min(len(r.buf), r.start+r.length)] }

// Discard removes the first n bytes.
func (r *Ring) Discard(n int) {
	r.length -= n
	if r.start += n; r.start > 0 && r.start >= len(r.buf) {
		r.start -= len(r.buf)
	}
}

// Truncate keeps the first n bytes and drops the rest.
func (r *Ring) Truncate(n int) { r.length = min(r.length, n) }

// Index returns the offset of the first sep, or -1.
func (r *Ring) Index(sep []byte) int { return r.IndexFrom(sep, 0) }

// IndexFrom returns the offset of the first sep that begins at offset from or behind it, or -1.
func (r *Ring) IndexFrom(sep []byte, from int) int {
	if from > r.length-len(sep) {
		return -1
	}
	first := r.FirstSegment()
	second := r.buf[:r.length-len(first)]
	if from < len(first) {
		if i := bytes.Index(first[from:], sep); i >= 0 {
			return from + i
		}
		// A separator may lie across the seam of the two segments.
		start := max(from, len(first)-len(sep)+1)
		seam := make([]byte, min(2*len(sep)-2, r.length-start))
		r.copyOut(seam, start)
		if i := bytes.Index(seam, sep); i >= 0 {
			return start + i
		}
		from = len(first)
	}
	if i := bytes.Index(second[from-len(first):], sep); i >= 0 {
		return from + i
	}
	return -1
}
