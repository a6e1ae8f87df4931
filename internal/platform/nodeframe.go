package platform

// Frames from a data node: where one ends, what stands behind it, and what an answer's holds.

import (
	"bytes"
	"encoding/binary"
	"strings"
	"unicode/utf8"

	"lapislever/balance"
	lnet "lapislever/internal/net"
)

const (
	frameLengthSize = 4
	frameHeaderSize = frameLengthSize + 1 // the length and the letter

	// maxBuffered is how much of a connection's input is kept: a frame and the beginning of the next one.
	maxBuffered = frameLengthSize + maxFrame + frameHeaderSize
)

// The letters of the frames that a data node sends.
const (
	letterProbe     = '3'
	letterLoadProbe = '4'
	letterAnswer    = '5'
	letterRejected  = 'X'
)

// isNodeLetter reports whether a data node's frame may have this letter.
func isNodeLetter(letter byte) bool {
	switch letter {
	case letterProbe, letterLoadProbe, letterAnswer, letterRejected:
		return true
	}
	return false
}

// nextFrame returns the length of the frame at the start of the ring, without the length's own bytes, once
// the frame is complete. It returns 0 while bytes are missing, and an error as soon as what is there cannot
// become a frame. It never allocates memory for bytes that have not arrived.
func nextFrame(in *lnet.Ring) (size int, err error) {
	var head [frameHeaderSize]byte
	n := in.Peek(head[:], 0)
	if n < frameLengthSize {
		return 0, nil
	}
	stated := binary.LittleEndian.Uint32(head[:])
	if stated < 1 || stated > maxFrame {
		return 0, malformed("impossible frame length %d", stated)
	}
	if letter := head[frameLengthSize]; n == frameHeaderSize && !isNodeLetter(letter) {
		return 0, malformed("unknown frame type %q", letter)
	}
	size = int(stated)
	if in.Len() >= frameLengthSize+size {
		return size, nil
	}
	if in.Len() > maxLine && in.Index([]byte("\n")) < 0 {
		return 0, malformed("answer line too long")
	}
	return 0, nil
}

// trailing is what stands behind an answer's frame on its connection.
type trailing uint8

const (
	trailingNothing trailing = iota // no byte
	trailingFrame                   // the beginning of another frame
	trailingUnknown                 // too few bytes to tell a frame's length from text
	trailingText                    // text, which may be the rest of the answer's value
	trailingNoise                   // neither a frame nor text
)

// classifyTrailing tells what the bytes behind an answer's frame are, as far as they have come.
func classifyTrailing(b []byte) trailing {
	switch {
	case len(b) == 0:
		return trailingNothing
	case beginsFrame(b) && isText(b):
		return trailingUnknown
	case beginsFrame(b):
		return trailingFrame
	case isText(b):
		return trailingText
	}
	return trailingNoise
}

// beginsFrame reports whether a data node's frame can begin with the given bytes.
func beginsFrame(b []byte) bool {
	var head [frameHeaderSize]byte
	n := copy(head[:], b)
	stated := binary.LittleEndian.Uint32(head[:])
	switch {
	case stated > maxFrame:
		return false
	case n < frameLengthSize: // the bytes that are missing may add to it
		return true
	case n < frameHeaderSize:
		return stated > 0
	}
	return stated > 0 && isNodeLetter(head[frameLengthSize])
}

// isText reports whether bytes may be a piece of a text, in UTF-8 and without control characters other than
// tabs and line ends. The piece may end within a character.
func isText(b []byte) bool {
	for len(b) > 0 {
		r, size := utf8.DecodeRune(b)
		switch {
		case r == utf8.RuneError && size == 1:
			return !utf8.FullRune(b)
		case r < ' ' && r != '\t' && r != '\n' && r != '\r':
			return false
		}
		b = b[size:]
	}
	return true
}

// hasNoValue reports whether the frame that ends at an offset in the ring is an answer that serves nothing
// and has no value. Its length is right whatever is behind it: one that is too small would cut its line.
func hasNoValue(in *lnet.Ring, end int) bool {
	b := make([]byte, min(end-frameHeaderSize, maxLine+1)) // a longer one has a value
	in.Peek(b, frameHeaderSize)
	answer, err := parseAnswer(b)
	return err == nil && answer.outcome != balance.OK && frameHeaderSize+len(b) == end && len(answer.value) == 0
}

// nodeAnswer is the parsed line of an answer and its value.
type nodeAnswer struct {
	id      string
	outcome balance.Outcome
	report  string
	value   []byte
}

// parseAnswer parses `ID END SCORE REPORT` LF value.
func parseAnswer(b []byte) (nodeAnswer, error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return nodeAnswer{}, malformed("answer without a line end")
	}
	f := strings.SplitN(string(b[:i]), " ", 4) // a malformed report does not invalidate the answer
	if len(f) != 4 || f[0] == "" {
		return nodeAnswer{}, malformed("malformed answer line %.100q", b[:i])
	}
	a := nodeAnswer{id: f[0], report: f[3], value: b[i+1:]}
	switch f[1] {
	case "S":
		if !utf8.Valid(a.value) { // a reply cannot carry it
			return nodeAnswer{}, malformed("the value is not UTF-8")
		}
		a.outcome = balance.OK
	case "E":
		a.outcome = balance.Error
	case "B":
		a.outcome = balance.Busy
	default:
		return nodeAnswer{}, malformed("unknown answer status %.20q", f[1])
	}
	return a, nil
}
