package jsontext

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"unicode/utf8"
)

func TestCheckUnicode(t *testing.T) {
	for text, want := range map[string]error{
		`"c41e77d0"`:                nil,
		`{"a":["příjem","\u00e1"]}`: nil,
		`"\ud83d\ude00"`:            nil,
		`"\uD83D\uDE00\uFFFD"`:      nil,
		`"\\ud83d"`:                 nil,
		`"\"\\\\ud83d\/"`:           nil,
		"\"\uFFFD\"":                nil,
		"\"\xff\"":                  ErrNotUTF8,
		"\"\xed\xa0\xbd\"":          ErrNotUTF8,
		`"\ud83d"`:                  ErrLoneSurrogate,
		`"\ude00"`:                  ErrLoneSurrogate,
		`"\ude00\ud83d"`:            ErrLoneSurrogate,
		`"\ud83dx"`:                 ErrLoneSurrogate,
		`"\ud83d\n"`:                ErrLoneSurrogate,
		`"\ud83d\u0041"`:            ErrLoneSurrogate,
		`"\ud83d\ud83d\ude00"`:      ErrLoneSurrogate,
		`"\\\ud83d"`:                ErrLoneSurrogate,
		`{"\udc00":1}`:              ErrLoneSurrogate,
	} {
		if err := CheckUnicode([]byte(text)); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", text, err, want)
		}
	}
}

// A string that passes decodes without a replacement; one that does not is decoded with one.
func FuzzCheckUnicode(f *testing.F) {
	for _, text := range []string{`"a"`, `"\ud83d\ude00"`, `"\ud83d"`, `"\\ud83d"`, "\"\xff\"", `"\u`, `"\`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var decoded string
		err := CheckUnicode(text)
		if json.Unmarshal(text, &decoded) != nil {
			return
		}
		original := strings.ToLower(string(text))
		written := utf8.Valid(text) && strings.ContainsRune(original, utf8.RuneError)
		if written || strings.Contains(original, "fffd") {
			return // it has the character itself
		}
		if replaced := strings.ContainsRune(decoded, utf8.RuneError); replaced != (err != nil) {
			t.Errorf("%q is decoded as %q: %v", text, decoded, err)
		}
	})
}
