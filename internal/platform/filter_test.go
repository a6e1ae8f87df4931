package platform

import (
	"net/http"
	"testing"

	"lapislever/internal/standin"
)

// Guards against a text that nobody sent: a filter with half of a surrogate pair, of which no text can be
// made, went to data nodes as another one. Filters that are texts arrive unchanged.
func TestFilterArrivesAsItWasSent(t *testing.T) {
	n := standin.NewNode(t, answerAll)
	k := startReady(t, testConfig(t, newDiscovery(t, hostAt("a", n.Addr, 0))))
	for escaped, want := range map[string]string{
		"c41e77d0":            "c41e77d0",
		`příjem \u00e1`:       "příjem á",
		`\ud83d\ude00`:        "\U0001F600",
		`\\ud83d`:             `\ud83d`,
		`\uFFFD` + "\uFFFD":   "\uFFFD\uFFFD",
		`c41e\ud83d`:          "",
		`c41e\ud83d77d0`:      "",
		`\ude00\ud83d`:        "",
		`\ud83d\ud83d\ude00`:  "",
		"\xed\xa0\xbd":        "",
		"c41e\xff":            "",
		`c41e\ud83d` + "\xff": "",
	} {
		before := len(n.Parts())
		r := standin.DoHTTP(t, k.Addr(), "POST", "/rate-check", [][2]string{{"X-Call-Id", "f"}},
			`{"slices":[{"slice":0,"mass":1}],"filter":"`+escaped+`"}`)
		parts := n.Parts()[before:]
		switch {
		case want == "" && (r.Status != http.StatusBadRequest || len(parts) != 0):
			t.Errorf("%q: %d %.100q and %d parts, want 400 and none", escaped, r.Status, r.Body, len(parts))
		case want != "" && (r.Status != http.StatusOK || len(parts) != 1 || parts[0].Text != want):
			t.Errorf("%q: %d and %+v, want a part with %q", escaped, r.Status, parts, want)
		}
	}
}
