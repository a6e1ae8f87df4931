// Package jsontext checks JSON texts for what encoding/json decodes as another text without an error.
package jsontext

import (
	"bytes"
	"errors"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// Errors of CheckUnicode.
var (
	ErrNotUTF8       = errors.New("the text is not UTF-8")
	ErrLoneSurrogate = errors.New("the text has half of a surrogate pair")
)

const hexDigits = 4 // of an escape \uXXXX, behind its first two characters

// CheckUnicode returns an error if a string of a JSON text is no Unicode text, because its bytes are not
// UTF-8 or an escape is half of a surrogate pair (RFC 8259, 8.2). encoding/json would put U+FFFD in its
// place. The syntax of the text is not checked.
func CheckUnicode(text []byte) error {
	if !utf8.Valid(text) {
		return ErrNotUTF8
	}
	for rest := text; ; {
		i := bytes.IndexByte(rest, '\\')
		if i < 0 || i+1 == len(rest) {
			return nil
		}
		rest = rest[i:]
		first, size := decodeEscape(rest)
		if utf16.IsSurrogate(first) {
			second, secondSize := decodeEscape(rest[size:])
			if utf16.DecodeRune(first, second) == utf8.RuneError {
				return ErrLoneSurrogate
			}
			size += secondSize
		}
		rest = rest[size:]
	}
}

// decodeEscape returns the code unit of the escape \uXXXX at the start of a text, and the escape's size in
// bytes. Of another escape it returns 0 and the size of its first two characters; of no escape, 0 and 0.
func decodeEscape(text []byte) (unit rune, size int) {
	const prefixSize = len(`\u`)
	if len(text) < prefixSize || text[0] != '\\' {
		return 0, 0
	}
	if text[1] != 'u' || len(text) < prefixSize+hexDigits {
		return 0, prefixSize
	}
	value, err := strconv.ParseUint(string(text[prefixSize:prefixSize+hexDigits]), 16, 16)
	if err != nil {
		return 0, prefixSize
	}
	return rune(value), prefixSize + hexDigits
}
