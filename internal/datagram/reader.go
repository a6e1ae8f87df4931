// Package datagram takes datagrams of members apart. It owns no form: only that what is cut short fails, and
// gives zeroes until whoever reads looks.
package datagram

import "encoding/binary"

// Reader reads a datagram from its begin. Numbers are little-endian. Past the end it is Bad, and gives
// zeroes.
type Reader struct {
	Rest []byte // what is left
	Bad  bool
}

// Bytes is the next n bytes.
func (r *Reader) Bytes(n int) []byte {
	if n > len(r.Rest) {
		r.Bad, r.Rest = true, nil
		return make([]byte, n)
	}
	x := r.Rest[:n]
	r.Rest = r.Rest[n:]
	return x
}

// U8 is one byte.
func (r *Reader) U8() byte { return r.Bytes(1)[0] }

// U16 is a number of two bytes.
func (r *Reader) U16() uint16 { return binary.LittleEndian.Uint16(r.Bytes(2)) }

// U32 is one of four.
func (r *Reader) U32() uint32 { return binary.LittleEndian.Uint32(r.Bytes(4)) }

// U64 is one of eight.
func (r *Reader) U64() uint64 { return binary.LittleEndian.Uint64(r.Bytes(8)) }

// Text is a text with a byte of length before it; a longer one than most is Bad.
func (r *Reader) Text(most int) string {
	n := int(r.U8())
	if n > most {
		r.Bad = true
		return ""
	}
	return string(r.Bytes(n))
}
