package platform

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"

	"lapislever/internal/standin"
)

// servedValue returns the value of the only part that a reply holds.
func servedValue(t *testing.T, body []byte) string {
	t.Helper()
	var answer answerBody
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Items) != 1 {
		t.Fatalf("%.200q: %v", body, err)
	}
	return answer.Items[0].Body
}

// Guards against a value that a reply cannot carry and that is served as another text: the answer counts as a
// failed attempt, its connection ends, and the part is asked for again.
func TestValueThatIsNotUTF8IsNotServed(t *testing.T) {
	for name, value := range map[string]string{
		"noise":              "\xb5\xe2\xe2\xb0",
		"one byte":           "5be2a07c\xff19f04d63",
		"half a character":   "příjem\xc3",
		"half a surrogate":   "\xed\xa0\xbd",
		"a longer form of /": "\xc0\xaf",
		"beyond Unicode":     "\xf4\x90\x80\x80",
	} {
		t.Run(name, func(t *testing.T) {
			var first atomic.Bool
			n := standin.NewNode(t, func(standin.Part) (string, string) {
				if first.Swap(true) {
					return "S", "whole"
				}
				return "S", value
			})
			k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
			r := post(t, k, "rate-check", 0)
			if r.Status != http.StatusOK || servedValue(t, r.Body) != "whole" {
				t.Errorf("%d %.100q", r.Status, r.Body)
			}
			if len(n.Parts()) != 2 || n.ConnsOpened() != 2 {
				t.Errorf("%d attempts on %d connections, want 2 on 2", len(n.Parts()), n.ConnsOpened())
			}
		})
	}
}

// Guards against a value that ends within a character, as its length is too small: the byte behind it is no
// text, and does not make the answer sound.
func TestValueCutWithinACharacterIsNotServed(t *testing.T) {
	var first atomic.Bool
	n := standin.NewNode(t, func(p standin.Part) (string, string) {
		if first.Swap(true) {
			return "S", "pří"
		}
		return standin.RawReply, answerFrame(p, "pří", 1)
	})
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	if r := post(t, k, "rate-check", 0); r.Status != http.StatusOK || servedValue(t, r.Body) != "pří" {
		t.Errorf("%d %.100q", r.Status, r.Body)
	}
}

// Guards against a repeat, and an answer of noise, where nothing may be repeated.
func TestValueOfNoiseWhereNothingMayBeRepeated(t *testing.T) {
	n := standin.NewNode(t, func(standin.Part) (string, string) { return "S", "\xb5\xe2\xe2\xb0" })
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0)),
		`"idempotency":"read_like"`, `"idempotency":"non_idempotent"`))
	if r := post(t, k, "rate-check", 0); r.Status != http.StatusBadGateway || len(n.Parts()) != 1 {
		t.Errorf("%d %.100q after %d attempts, want 502 after 1", r.Status, r.Body, len(n.Parts()))
	}
}

// A value is served as the node gave it, whatever text it is.
func TestValuesOfAllTextsAreServed(t *testing.T) {
	for _, value := range []string{"", "5be2a07c19f04d63", "příjem 70 800 Kč", "\uFFFD", "\uFFFE\uFFFF",
		"\u2028<&>\"\\", "\x00\x01\x7f\u0080", "\U0010FFFF\U0001F600", `\ud83d`} {
		n := standin.NewNode(t, func(standin.Part) (string, string) { return "S", value })
		k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
		if r := post(t, k, "rate-check", 0); r.Status != http.StatusOK || servedValue(t, r.Body) != value {
			t.Errorf("%q: %d %.100q", value, r.Status, r.Body)
		}
		if len(n.Parts()) != 1 {
			t.Errorf("%q: %d attempts", value, len(n.Parts()))
		}
		k.Close()
	}
}
