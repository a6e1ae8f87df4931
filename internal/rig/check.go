package rig

import (
	"fmt"
	"strings"
)

// Check reads a history and names all that must not be: the invariants of the fleet and of queries.
func Check(events []Event, noDeaths bool) []string {
	var faults []string
	fault := func(format string, args ...any) {
		if len(faults) < 20 {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	up := map[string]bool{}
	incs := map[[2]string]uint32{} // by observer and member, in one life of the observer
	views := map[string]string{}   // digest to view
	answered := map[string]int{}   // queries
	asked := map[string]bool{}     //
	ended := map[string]bool{}     // members that were ever down
	for _, e := range events {
		switch e.Kind {
		case KindProcess:
			switch e.What {
			case "start", "cont":
				up[e.Who] = true
			case "kill", "stop", "term":
				up[e.Who], ended[e.Who] = false, true
				for k := range incs {
					if k[0] == e.Who && e.What != "stop" {
						delete(incs, k)
					}
				}
			}
		case KindView:
			checkView(e, up, incs, noDeaths, fault)
			line := fmt.Sprint(unsuspected(e.Members), e.Incs)
			if was, ok := views[e.Digest]; ok && was != line {
				fault("%.0f ms: digest %s stands for %s and for %s", e.MS, e.Digest, was, line)
			}
			views[e.Digest] = line
		case KindQuery:
			if asked[e.Query] {
				fault("%.0f ms: query %s was asked twice", e.MS, e.Query)
			}
			asked[e.Query] = true
		case KindAnswer:
			answered[e.Query]++
			if answered[e.Query] > 1 {
				fault("%.0f ms: query %s was answered %d times", e.MS, e.Query, answered[e.Query])
			}
			if strings.HasPrefix(e.What, "cut off") && !ended[e.Who] {
				fault("%.0f ms: query %s was cut off at %s, which ran", e.MS, e.Query, e.Who)
			} else if e.What != "" && !strings.HasPrefix(e.What, "cut off") {
				fault("%.0f ms: query %s at %s: %s", e.MS, e.Query, e.Who, e.What)
			}
		case KindPart:
			id, _, _ := strings.Cut(e.Query, ".")
			if !asked[id] {
				fault("%.0f ms: node %s got a part of %s, which nobody asked", e.MS, e.Who, id)
			}
		}
	}
	for id := range asked {
		if answered[id] == 0 {
			fault("query %s was never answered", id)
		}
	}
	return faults
}

// checkView holds one look at one member's view against what must be.
func checkView(e Event, up map[string]bool, incs map[[2]string]uint32, noDeaths bool, fault func(string,
	...any)) {
	for name, state := range e.Members {
		key := [2]string{e.Who, name}
		if e.Incs[name] < incs[key] {
			fault("%.0f ms: at %s the incarnation of %s went back from %d to %d", e.MS, e.Who, name, incs[key],
				e.Incs[name])
		}
		incs[key] = e.Incs[name]
		if noDeaths && state == "dead" && up[name] {
			fault("%.0f ms: %s sees %s dead, which runs", e.MS, e.Who, name)
		}
	}
}

// unsuspected are the states as the digest counts them.
func unsuspected(members map[string]string) map[string]string {
	out := map[string]string{}
	for name, state := range members {
		if state == "suspect" {
			state = "alive"
		}
		out[name] = state
	}
	return out
}
