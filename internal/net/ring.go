package net

// The ring buffer, and the memory that many of them share.

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// ErrFull tells that a ring buffer holds as much as it may.
var ErrFull = errors.New("the buffer is full")

// Ring is a ring buffer that grows by doubling up to its limit. It is not safe for concurrent use.
type Ring struct {
	buf     []byte
	at, n   int
	ceiling int
	pool    *pool // where growth beyond the first size is booked, if anywhere
}

// pool bounds the memory that rings of many connections take together beyond their first size.
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

// NewRing returns an empty ring that will hold limit bytes at most.
func NewRing(limit int) *Ring { return &Ring{ceiling: limit} }

// Len is the number of bytes held.
func (r *Ring) Len() int { return r.n }

// Free returns a stretch to read into; Grew must be told how much of it was filled. It is nil when full.
// Only here does an emptied ring start over and give memory back: Discard may run while a read into Free is
// under way, and must not move the place that it fills.
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

// Commit books n bytes that were filled into Free.
func (r *Ring) Commit(n int) { r.n += n }

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

// booked is how much of a ring's size counts.
func booked(size int) int { return max(0, size-freeRing) }

// drop gives the ring's memory back.
func (r *Ring) drop() {
	r.pool.give(booked(len(r.buf)))
	r.buf, r.at, r.n = nil, 0, 0
}

// copyOut copies the bytes from place skip on into p, which must be held.
func (r *Ring) copyOut(p []byte, skip int) {
	at := r.at + skip
	if at >= len(r.buf) {
		at -= len(r.buf)
	}
	n := copy(p, r.buf[at:])
	copy(p[n:], r.buf)
}

// Write appends p whole, or nothing of it and ErrFull.
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

// Read takes bytes out.
func (r *Ring) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.n)
	r.copyOut(p[:n], 0)
	r.Discard(n)
	return n, nil
}

// Peek copies the bytes from place skip on without taking them, as many as there are and p holds.
func (r *Ring) Peek(p []byte, skip int) int {
	n := min(len(p), r.n-skip)
	if n <= 0 {
		return 0
	}
	r.copyOut(p[:n], skip)
	return n
}

// First returns the first stretch of what is held, without taking it.
func (r *Ring) First() []byte { return r.buf[r.at:min(len(r.buf), r.at+r.n)] }

// Discard forgets the first n bytes.
func (r *Ring) Discard(n int) {
	r.n -= n
	if r.at += n; r.at > 0 && r.at >= len(r.buf) {
		r.at -= len(r.buf)
	}
}

// Truncate keeps the first n bytes and forgets what was written after them.
func (r *Ring) Truncate(n int) { r.n = min(r.n, n) }

// Index is the place of the first sep, or -1.
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
