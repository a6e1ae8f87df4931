package net

// The ring buffer, and the limit on the memory of all rings.

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// ErrFull is returned when a write would exceed a ring's limit.
var ErrFull = errors.New("ring buffer is full")

// Ring is a ring buffer that grows by doubling, up to a limit. It is not safe for concurrent use.
type Ring struct {
	buf     []byte
	at, n   int
	ceiling int
	pool    *pool // accounts for growth beyond the free size; nil: unaccounted
}

// memoryLimit bounds the total memory that the rings of many connections use beyond their free size.
type pool struct{ left atomic.Int64 }

func (p *pool) take(n int) bool {
	if p == nil || n <= 0 || p.left.Add(int64(-n)) >= 0 {
		return true
	}
	p.left.Add(int64(n))
	return false
}

func (p *pool) give(n int) {
	if p != nil && n > 0 {
		p.left.Add(int64(n))
	}
}

// NewRing returns an empty ring that holds at most limit bytes.
func NewRing(limit int) *Ring { return &Ring{ceiling: limit} }

// Len returns the number of buffered bytes.
func (r *Ring) Len() int { return r.n }

// Free returns a contiguous free segment to read into, or nil when the ring is full. The caller then calls
// Commit with the number of bytes filled. Only Free resets an empty ring and releases its memory: Discard may
// run while a read into the free segment is in progress, and must not move that segment.
func (r *Ring) Free() []byte {
	if r.n == 0 {
		if r.at = 0; len(r.buf) > largeRing {
			r.drop()
		}
	}
	if r.n == len(r.buf) && !r.grow(r.n+1) {
		return nil
	}
	end := r.at + r.n
	if end >= len(r.buf) {
		end -= len(r.buf)
		return r.buf[end:r.at]
	}
	return r.buf[end:]
}

// Commit appends the n bytes that the caller has written into the segment returned by Free.
func (r *Ring) Grew(n int) { r.n += n }

func (r *Ring) grow(need int) bool {
	if need <= len(r.buf) {
		return true
	}
	if need > r.ceiling {
		return false
	}
	size := max(firstRing, 2*len(r.buf))
	for size < need {
		size *= 2
	}
	size = min(size, r.ceiling)
	if !r.pool.take(booked(size) - booked(len(r.buf))) {
		return false
	}
	fresh := make([]byte, size)
	r.copyOut(fresh[:r.n], 0)
	r.buf, r.at = fresh, 0
	return true
}

// accounted returns how much of a ring's size counts against the memory limit.
func booked(size int) int { return max(0, size-freeRing) }

// release frees the ring's memory and empties it.
func (r *Ring) drop() {
	r.pool.give(booked(len(r.buf)))
	r.buf, r.at, r.n = nil, 0, 0
}

// copyOut fills p with the bytes from offset skip on. The ring must hold that many.
func (r *Ring) copyOut(p []byte, skip int) {
	at := r.at + skip
	if at >= len(r.buf) {
		at -= len(r.buf)
	}
	n := copy(p, r.buf[at:])
	copy(p[n:], r.buf)
}

// Write appends all of p, or nothing and returns ErrFull.
func (r *Ring) Write(p []byte) (int, error) {
	if !r.grow(r.n + len(p)) {
		return 0, ErrFull
	}
	for left := p; len(left) > 0; {
		n := copy(r.Free(), left)
		r.n += n
		left = left[n:]
	}
	return len(p), nil
}

// Read removes bytes from the ring into p.
func (r *Ring) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.n)
	r.copyOut(p[:n], 0)
	r.Discard(n)
	return n, nil
}

// Peek copies bytes from offset skip on into p without removing them, and returns how many it copied.
func (r *Ring) Peek(p []byte, skip int) int {
	n := min(len(p), r.n-skip)
	if n <= 0 {
		return 0
	}
	r.copyOut(p[:n], skip)
	return n
}

// FirstSegment returns the first contiguous segment of buffered bytes without removing it.
func (r *Ring) First() []byte { return r.buf[r.at:min(len(r.buf), r.at+r.n)] }

// Discard removes the first n bytes.
func (r *Ring) Discard(n int) {
	r.n -= n
	if r.at += n; r.at > 0 && r.at >= len(r.buf) {
		r.at -= len(r.buf)
	}
}

// Truncate keeps the first n bytes and drops the rest.
func (r *Ring) Truncate(n int) { r.n = min(r.n, n) }

// Index returns the offset of the first sep, or -1.
func (r *Ring) Index(sep []byte) int {
	first := r.First()
	if i := bytes.Index(first, sep); i >= 0 {
		return i
	}
	if len(first) == r.n {
		return -1
	}
	all := make([]byte, r.n)
	r.copyOut(all, 0)
	return bytes.Index(all, sep)
}
