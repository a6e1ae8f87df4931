package promql

import (
	"net/url"
	"strings"
	"testing"
	"time"
)

// parseExpression parses a query with an expression.
func parseExpression(expression string) *apiError {
	_, err := parseQuery(url.Values{"query": {expression}, "start": {"0"}, "end": {"9"}, "step": {"1"}}, "")
	return err
}

// Guards against a query whose regular expressions take seconds of processor time, or hundreds of megabytes,
// to be compiled: all answers would be late.
func TestCostlyRegularExpressionsAreTurnedDown(t *testing.T) {
	const most = 200 * time.Millisecond
	matcher := func(regex string) string { return "m{a=~`" + regex + "`}" }
	for name, expression := range map[string]string{
		"many repeated classes":   "m{" + strings.Repeat("a=~`(?i)\\pL{999}`,", 2700) + "}",
		"one repeated class":      matcher(`(?i)\pL{999}`),
		"classes":                 matcher(`(?i)` + strings.Repeat(`\pL`, 19_000)),
		"negated classes":         matcher(strings.Repeat(`\P{Greek}`, 6000)),
		"many matchers":           "m{" + strings.Repeat("a=~`.*b.*`,", 5000) + "}",
		"negated matchers":        "m{" + strings.Repeat("a!~`.*b.*`,", 5000) + "}",
		"repetitions":             matcher(strings.Repeat(`a{999}`, 100)),
		"nested repetitions":      matcher(strings.Repeat(`((a{10}){10}){10}`, 100)),
		"open repetitions":        matcher(strings.Repeat(`a{999,}`, 100)),
		"ranges by number":        matcher(`(?i)` + strings.Repeat(`[\x{100}-\x{1E943}]`, 2900)),
		"ranges by character":     matcher(`(?i)` + strings.Repeat(`[Ā-𞥃]`, 5000)),
		"behind a bracket":        matcher(`(?i)` + strings.Repeat(`[]Ā-𞥃]`, 4000)),
		"behind a negation":       matcher(`(?i)` + strings.Repeat(`[^]Ā-𞥃]`, 4000)),
		"behind a named class":    matcher(`(?i)` + strings.Repeat(`[[:digit:]Ā-𞥃]`, 3000)),
		"behind a quoted bracket": matcher(`(?i)` + strings.Repeat(`\Q[]\E[Ā-𞥃]`, 3000)),
		"behind an escape":        matcher(`(?i)` + strings.Repeat(`[\]Ā-𞥃]`, 4000)),
		"behind a comment":        "m{a=~#`\n`" + strings.Repeat(`\pL`, 15_000) + "`}",
		"in an aggregation":       `sum by (a) (rate(m{a=~"` + strings.Repeat(`\\pL`, 10_000) + `"}[5m]))`,
		"in many selectors":       strings.Repeat("m{a=~`\\pL{99}`} + ", 200) + "1",
	} {
		begun := time.Now()
		if err := parseExpression(expression); err == nil || err.status != 400 {
			t.Errorf("%s: %v", name, err)
		}
		if took := time.Since(begun); took > most {
			t.Errorf("%s: %v", name, took)
		}
	}
}

// Regular expressions as they are used are taken, up to the largest that fit a request.
func TestUsualRegularExpressionsAreTaken(t *testing.T) {
	for name, regex := range map[string]string{
		"digits":       `[0-9a-f]{32}`,
		"a name":       `[a-z]([-a-z0-9]{0,61}[a-z0-9])?(\.[a-z]([-a-z0-9]{0,61}[a-z0-9])?)*`,
		"letters":      `(?i)\pL+-[a-zá-ž]+`,
		"alternatives": strings.Repeat("kiosk-0042|", 5000) + "kiosk-0043",
		"words":        strings.Repeat("příjem|výdej|", 2500) + "účet",
		"anything":     `.*[^x]\S+\W?.+`,
	} {
		if err := parseExpression("m{a=~`" + regex + "`}"); err != nil {
			t.Errorf("%s: %.200v", name, err.err)
		}
	}
	if err := parseExpression("m{" + strings.Repeat("a=~`kiosk-.+`,", 500) + "}"); err != nil {
		t.Errorf("500 matchers: %.200v", err.err)
	}
}
