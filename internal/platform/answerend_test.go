package platform

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"lapislever/internal/core"
	"lapislever/internal/standin"
)

// answerFrame returns an answer whose stated length is short by some bytes.
func answerFrame(p standin.Part, value string, short int) string {
	body := "5" + p.ID + " S 1 -\n" + value
	return string(binary.LittleEndian.AppendUint32(nil, uint32(len(body)-short))) + body
}

// Guards against a value that is served cut because its frame states too small a length: the answer counts as
// a failed attempt, wherever the value is cut, and the part is asked for again.
func TestAnswerWithTooSmallLengthIsNotServed(t *testing.T) {
	const digits = "5be2a07c19f04d63"
	long := strings.Repeat(digits, 3000)
	for name, c := range map[string]struct {
		value  string
		short  int
		behind func(p standin.Part) string
	}{
		"by one byte":            {digits, 1, nil},
		"by two bytes":           {digits, 2, nil},
		"by three bytes":         {digits, 3, nil},
		"by four bytes":          {digits, 4, nil},
		"by five bytes":          {digits, 5, nil},
		"by all but one byte":    {digits, 15, nil},
		"by the whole value":     {digits, 16, nil},
		"lines":                  {"one\ntwo\r\n\tthree", 8, nil},
		"between two characters": {"příjem", 3, nil},
		"before a character":     {"pří", 2, nil},
		"a long value":           {long, 4, nil},
		"most of a long value":   {long, len(long) - 4, nil},
		"a copy behind the rest": {digits, 4, func(p standin.Part) string { return answerFrame(p, digits, 4) }},
	} {
		t.Run(name, func(t *testing.T) {
			var first atomic.Bool
			n := standin.NewNode(t, func(p standin.Part) (string, string) {
				if first.Swap(true) {
					return "S", c.value
				}
				spoilt := answerFrame(p, c.value, c.short)
				if c.behind != nil {
					spoilt += c.behind(p)
				}
				return standin.RawReply, spoilt
			})
			k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
			r := post(t, k, "rate-check", 0)
			want := fmt.Sprintf(`"body":%q`, c.value)
			if r.Status != http.StatusOK || !strings.Contains(string(r.Body), want) || len(n.Parts()) != 2 {
				t.Errorf("%d %.200q after %d attempts, want %.60s after 2", r.Status, r.Body, len(n.Parts()), want)
			}
		})
	}
}

// Guards against a cut value where the frame, as stated, ends together with a read: the rest of the value is
// still in the socket then.
func TestRestOfTheValueBehindAFullRead(t *testing.T) {
	const firstRead = 1 << 10
	var first atomic.Bool
	n := standin.NewNode(t, func(p standin.Part) (string, string) {
		if first.Swap(true) {
			return "S", "whole"
		}
		head := len(answerFrame(p, "", 0))
		return standin.RawReply, answerFrame(p, strings.Repeat("v", firstRead-head+4), 4)
	})
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	if r := post(t, k, "rate-check", 0); !strings.Contains(string(r.Body), `"body":"whole"`) {
		t.Errorf("%d %.100q", r.Status, r.Body)
	}
}

// Guards against a cut value while another part is out on the connection, whose sound answer follows.
func TestAnswerBehindTheRestOfAnother(t *testing.T) {
	var parts atomic.Int64
	var held atomic.Pointer[standin.Part]
	n := standin.NewNode(t, func(p standin.Part) (string, string) {
		switch parts.Add(1) {
		case 1:
			held.Store(&p)
			return "", ""
		case 2:
			return standin.RawReply, answerFrame(p, "whole", 2) + answerFrame(*held.Load(), "whole", 0)
		}
		return "S", "whole"
	})
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	replies := make(chan string, 2)
	for range 2 {
		go func() { replies <- string(post(t, k, "rate-check", 0).Body) }()
	}
	for range 2 {
		if body := <-replies; !strings.Contains(body, `"body":"whole"`) {
			t.Errorf("%.100q", body)
		}
	}
}

// Guards against a second effect and a cut value where nothing may be repeated: what may be either is a
// failure; what is known to be sound is served.
func TestAnswerWithMoreBehindItWhereNothingMayBeRepeated(t *testing.T) {
	const value = "5be2a07c19f04d63"
	for name, c := range map[string]struct {
		short  int
		behind func(sound string) string
		want   int
	}{
		"too small a length":   {4, func(string) string { return "" }, http.StatusBadGateway},
		"nothing":              {0, func(string) string { return "" }, http.StatusOK},
		"a second copy":        {0, func(sound string) string { return sound }, http.StatusOK},
		"half a copy":          {0, func(sound string) string { return sound[:9] }, http.StatusOK},
		"bytes that are noise": {0, func(string) string { return "\xd8\x84\xe3`;\xc0\xa1\r\n" }, http.StatusOK},
		"text":                 {0, func(string) string { return strings.Repeat("x", 20) }, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			n := standin.NewNode(t, func(p standin.Part) (string, string) {
				return standin.RawReply, answerFrame(p, value, c.short) + c.behind(answerFrame(p, value, 0))
			})
			k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0)),
				`"idempotency":"read_like"`, `"idempotency":"non_idempotent"`))
			r := post(t, k, "rate-check", 0)
			if r.Status != c.want || len(n.Parts()) != 1 {
				t.Errorf("%d %.100q after %d attempts, want %d after 1", r.Status, r.Body, len(n.Parts()), c.want)
			}
			if served := r.Status == http.StatusOK; served != strings.Contains(string(r.Body), value) {
				t.Errorf("%d with %.100q", r.Status, r.Body)
			}
			standin.WaitFor(t, "the end of a connection that cannot be used", func() bool {
				return name == "nothing" || len(k.nodes.connsTo(core.ServerID("a"))) == 0
			})
		})
	}
}

// Guards against a sound answer that is lost, as text behind it might be the rest of its value: where repeats
// are dropped the part is asked for again, with the same key.
func TestTextBehindAnAnswerIsAskedForAgain(t *testing.T) {
	var first atomic.Bool
	n := standin.NewNode(t, func(p standin.Part) (string, string) {
		if first.Swap(true) {
			return "S", "whole"
		}
		return standin.RawReply, answerFrame(p, "whole", 0) + strings.Repeat("x", 20)
	})
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	r := post(t, k, "exchange-post", 0)
	if r.Status != http.StatusOK || !strings.Contains(string(r.Body), `"body":"whole"`) || len(n.Parts()) != 2 {
		t.Fatalf("%d %.100q after %d attempts", r.Status, r.Body, len(n.Parts()))
	}
	keys := map[string]bool{}
	for _, p := range n.Parts() {
		_, key, _ := strings.Cut(p.Attrs, "k=")
		keys[key] = true
	}
	if len(keys) != 1 || keys[""] {
		t.Errorf("keys %v", keys)
	}
}

// Guards against a part that a node has turned away, and that counts as one that may have run for what stands
// behind the answer: where nothing may be repeated, no other node would be asked. An error may have run, and
// is not repeated.
func TestAnswerWithoutValueIsSoundWhateverIsBehindIt(t *testing.T) {
	for name, behind := range map[string]string{"nothing": "", "text": strings.Repeat("x", 20),
		"two bytes": "ab", "noise": "\xd8\x84\xe3`;\xc0\xa1\r\n"} {
		for end, want := range map[string]struct{ status, attempts int }{
			"B": {http.StatusOK, 2}, "E": {http.StatusBadGateway, 1}} {
			var first atomic.Bool
			answer := func(p standin.Part) (string, string) {
				if first.Swap(true) {
					return "S", "whole"
				}
				line := "5" + p.ID + " " + end + " 1 -\n"
				return standin.RawReply, string(binary.LittleEndian.AppendUint32(nil, uint32(len(line)))) + line + behind
			}
			a, b := standin.NewNode(t, answer), standin.NewNode(t, answer)
			k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", a.Addr, 0), hostAt("b", b.Addr, 0)),
				`"idempotency":"read_like"`, `"idempotency":"non_idempotent"`))
			r := post(t, k, "rate-check", 0)
			if attempts := len(a.Parts()) + len(b.Parts()); r.Status != want.status || attempts != want.attempts {
				t.Errorf("%s with %s behind it: %d after %d attempts, want %+v", end, name, r.Status, attempts, want)
			}
			k.Close()
		}
	}
}
