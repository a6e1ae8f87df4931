package rig

import (
	"fmt"
	"strings"
)

// Check returns the violations of the fleet's and the queries' invariants in a history, at most 20.
func Check(events []Event, noDeaths bool) []string {
	var violations []string
	report := func(format string, args ...any) {
		if len(violations) < 20 {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	up := map[string]bool{}
	incs := map[[2]string]uint32{} // by observer and member; reset when the observer ends
	views := map[string]string{}   // by digest
	answered := map[string]int{}   // answers by query
	asked := map[string]bool{}     // by query
	ended := map[string]bool{}     // members that were ever down
	for _, e := range events {
		switch e.Kind {
		case KindProcess:
			switch e.Detail {
			case "start", "cont":
				up[e.Subject] = true
			case "kill", "stop", "term":
				up[e.Subject], ended[e.Subject] = false, true
				for k := range incs {
					if k[0] == e.Subject && e.Detail != "stop" {
						delete(incs, k)
					}
				}
			}
		case KindView:
			checkView(e, up, incs, noDeaths, report)
			line := fmt.Sprint(countSuspectsAlive(e.Members), e.Incarnations)
			if was, ok := views[e.Digest]; ok && was != line {
				report("%.0f ms: digest %s maps to both %s and %s", e.AtMS, e.Digest, was, line)
			}
			views[e.Digest] = line
		case KindQuery:
			if asked[e.Query] {
				report("%.0f ms: query %s was asked twice", e.AtMS, e.Query)
			}
			asked[e.Query] = true
		case KindAnswer:
			answered[e.Query]++
			if answered[e.Query] > 1 {
				report("%.0f ms: query %s was answered %d times", e.AtMS, e.Query, answered[e.Query])
			}
			if strings.HasPrefix(e.Detail, "cut off") && !ended[e.Subject] {
				report("%.0f ms: query %s was cut off at %s, which was running", e.AtMS, e.Query, e.Subject)
			} else if e.Detail != "" && !strings.HasPrefix(e.Detail, "cut off") {
				report("%.0f ms: query %s at %s: %s", e.AtMS, e.Query, e.Subject, e.Detail)
			}
		case KindPart:
			id, _, _ := strings.Cut(e.Query, ".")
			if !asked[id] {
				report("%.0f ms: node %s got a part of %s, which no client sent", e.AtMS, e.Subject, id)
			}
		}
	}
	for id := range asked {
		if answered[id] == 0 {
			report("query %s was never answered", id)
		}
	}
	return violations
}

// checkView checks one recorded view of one member.
func checkView(e Event, up map[string]bool, incs map[[2]string]uint32, noDeaths bool, report func(string,
	...any)) {
	for name, state := range e.Members {
		key := [2]string{e.Subject, name}
		if e.Incarnations[name] < incs[key] {
			report("%.0f ms: at %s the incarnation of %s went back from %d to %d", e.AtMS, e.Subject, name, incs[key],
				e.Incarnations[name])
		}
		incs[key] = e.Incarnations[name]
		if noDeaths && state == "dead" && up[name] {
			report("%.0f ms: %s sees %s dead while it is running", e.AtMS, e.Subject, name)
		}
	}
}

// countSuspectsAlive returns the states as the digest covers them: a suspected member counts as alive.
func countSuspectsAlive(members map[string]string) map[string]string {
	out := map[string]string{}
	for name, state := range members {
		if state == "suspect" {
			state = "alive"
		}
		out[name] = state
	}
	return out
}
