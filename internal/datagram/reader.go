// Package datagram decodes the datagrams that members exchange. It defines no message format, only the
// handling of truncated input: reads past the end return zeroes and set an error flag that the caller checks.
package datagram

import "encoding/binary"

// Reader reads a datagram from its start. Integers are little-endian. A read past the end sets Bad and
// returns zeroes.
type Reader struct {
	Rest []byte // unread bytes
	Bad  bool
}

// Bytes returns the next n bytes.
func (r *Reader) Bytes(n int) []byte {
	if n > len(r.Rest) {
		r.Bad, r.Rest = true, nil
		return make([]byte, n)
	}
	x := r.Rest[:n]
	r.Rest = r.Rest[n:]
	return x
}

// U8 reads one byte.
func (r *Reader) U8() byte { return r.Bytes(1)[0] }

// U16 reads a two-byte integer.
func (r *Reader) U16() uint16 { return binary.LittleEndian.Uint16(r.Bytes(2)) }

// U32 reads a four-byte integer.
func (r *Reader) U32() uint32 { return binary.LittleEndian.Uint32(r.Bytes(4)) }

// U64 reads an eight-byte integer.
func (r *Reader) U64() uint64 { return binary.LittleEndian.Uint64(r.Bytes(8)) }

// Text reads a string that follows its length in one byte. A length above most sets Bad.
func (r *Reader) Text(maxLen int) string {
	n := int(r.U8())
	if n > maxLen {
		r.Bad = true
		return ""
	}
	return string(r.Bytes(n))
}
