package net

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// shortFields returns n lines of header fields, as short as they can be.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against heads of very many short fields, whose parsed form takes a multiple of the head.
func TestFieldsOfAHeadAreLimited(t *testing.T) {
	for fields, status := range map[int]int{maxFields - 1: 0, maxFields: 431, 3000: 431} {
		in := "GET /up HTTP/1.1\r\nHost: x\r\n" + shortFields(fields) + "\r\n"
		r, _, err := new(requestParser).parse(ringWith(in))
		var bad *BadMessage
		switch errors.As(err, &bad); {
		case status == 0 && r == nil:
			t.Errorf("%d fields: %v", fields, err)
		case status != 0 && (bad == nil || bad.Status != status):
			t.Errorf("%d fields: %v %v, want %d", fields, r, err, status)
		}
	}
}

// allocated returns how many bytes f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a request in very many pieces that is parsed from its start at each of them.
func TestRequestInPiecesIsParsedOnce(t *testing.T) {
	const pieces, most = 20_000, 1 << 20
	head := "POST / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", MaxHead-100) + "\r\n"
	for name, in := range map[string]string{
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", pieces) +
			"0\r\n\r\n",
		"length": head + fmt.Sprintf("Content-Length: %d\r\n\r\n", pieces) + strings.Repeat("b", pieces),
		"head":   head + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ring := NewRing(maxReadAhead)
			for range 3 { // so that the ring wraps round
				_, _ = ring.Write(make([]byte, 60_000))
				ring.Discard(60_000)
			}
			var parser requestParser
			var r *Request
			used := allocated(func() {
				for i := range len(in) {
					_, _ = ring.Write([]byte{in[i]})
					var err error
					if r, _, err = parser.parse(ring); err != nil || r != nil && i < len(in)-1 {
						t.Fatalf("after %d bytes: %v %v", i+1, r, err)
					}
				}
			})
			if r == nil || name != "head" && len(r.Body) != pieces {
				t.Fatalf("%v", r)
			}
			if used > most {
				t.Errorf("%d kB were allocated for %d kB", used>>10, len(in)>>10)
			}
		})
	}
}
