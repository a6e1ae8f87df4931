package platform

// The rules that a request is held to while settings change. Clients learn of a change with a delay, so
// that a request may follow the settings in force or others; it is held to all that it may follow.

import (
	"maps"
	"slices"
	"time"

	"lapislever/balance"
)

// settingsOverlap is how long after a change of the settings clients may still send requests by the old
// ones: the platform gives them 1.2 s to learn of the change.
const settingsOverlap = 1500 * time.Millisecond

// ruleSet holds the rules that the settings of one moment state for requests.
type ruleSet struct {
	classes     map[string]balance.Class // by name, without those that were dropped
	maxAttempts int                      // attempts for a part
	until       time.Time                // requests may follow these rules until then; zero: they are in force
	origin      *link                    // to the process of an upgrade that states them; nil: this process
}

// binds reports whether requests may follow the rules at the given time.
func (s *ruleSet) binds(now time.Time) bool { return s.until.IsZero() || now.Before(s.until) }

// equals reports whether two sets state the same rules, for whatever time.
func (s *ruleSet) equals(other *ruleSet) bool {
	return s.maxAttempts == other.maxAttempts && maps.Equal(s.classes, other.classes)
}

// longestDeadline returns the longest deadline of the set's classes.
func (s *ruleSet) longestDeadline() time.Duration {
	longest := balance.Micros(0)
	for _, x := range s.classes {
		longest = max(longest, x.Deadline)
	}
	return time.Duration(longest) * time.Microsecond
}

// rulesInForce returns the rules of the settings in force.
func (c *Config) rulesInForce() ruleSet {
	set := ruleSet{classes: map[string]balance.Class{}, maxAttempts: c.Module.MaxAttempts}
	for i, name := range c.Classes {
		if x := c.Module.Classes[i]; !x.Dropped {
			set.classes[name] = x
		}
	}
	return set
}

// rulesBeside returns the rules that still bind when other settings come into force at the given time: those
// in force until then, and others whose time is not over. An earlier set that states the same as a later
// one is left out, so that the list does not grow with changes that concern no rule.
func (c *Config) rulesBeside(now time.Time) []ruleSet {
	latest := c.rulesInForce()
	latest.until = now.Add(settingsOverlap)
	sets := []ruleSet{latest}
	for _, other := range c.otherRules {
		if other.binds(now) && (other.origin != nil || !other.equals(&latest)) {
			sets = append(sets, other)
		}
	}
	return sets
}

// classRules are the rules that one set states for a class.
type classRules struct {
	class       balance.Class
	maxAttempts int
}

// keyed reports whether the rules demand an idempotency key.
func (r *classRules) keyed() bool { return r.class.Effect == balance.Keyed }

// bindingRules returns all rules that a request for a class may follow at the given time: those in force
// first. There are none if the class is unknown by then.
func (c *Config) bindingRules(class int, now time.Time) []classRules {
	var binding []classRules
	if x := c.Module.Classes[class]; !x.Dropped {
		binding = append(binding, classRules{x, c.Module.MaxAttempts})
	}
	for i := range c.otherRules {
		set := &c.otherRules[i]
		if x, ok := set.classes[c.Classes[class]]; ok && set.binds(now) {
			binding = append(binding, classRules{x, set.maxAttempts})
		}
	}
	return binding
}

// classIndex returns the index of the class with the given name, or -1. A dropped class stays known for as
// long as clients may not have learnt that it was dropped.
func (c *Config) classIndex(name string, now time.Time) int {
	i := slices.Index(c.Classes, name)
	if i >= 0 && c.Module.Classes[i].Dropped && len(c.bindingRules(i, now)) == 0 {
		return -1
	}
	return i
}

// requestRules are the rules that apply to one request.
type requestRules struct {
	class       balance.Class
	maxAttempts int            // attempts for a part
	sendKey     bool           // the request's key is sent with its parts
	wait        balance.Micros // deadline of a request that states none
}

// rulesFor returns the rules for a request of a class that classIndex knows at the given time.
func (c *Config) rulesFor(class int, hasKey bool, now time.Time) requestRules {
	return strictest(c.bindingRules(class, now), hasKey)
}

// UnkeyedRules are the rules for a request without a key.
type UnkeyedRules struct {
	Index       int           // of the class in Module.Classes
	Class       balance.Class // the strictest of each kind among the rules that the request may follow
	MaxAttempts int           // attempts for a part
	Wait        time.Duration // deadline of a request that states none
	Repeatable  bool          // by some of the rules that the request may follow it may be repeated at will
}

// RulesAt returns the rules for a request without a key for a class, by when it arrived. It returns false if
// the class is unknown then.
func (c *Config) RulesAt(class string, arrived time.Time) (UnkeyedRules, bool) {
	i := c.classIndex(class, arrived)
	if i < 0 {
		return UnkeyedRules{}, false
	}
	binding := c.bindingRules(i, arrived)
	r := strictest(binding, false)
	repeatable := slices.ContainsFunc(binding, func(x classRules) bool { return x.class.Effect == balance.Safe })
	return UnkeyedRules{Index: i, Class: r.class, MaxAttempts: r.maxAttempts,
		Wait: time.Duration(r.wait) * time.Microsecond, Repeatable: repeatable}, true
}

// strictest merges the rules that a request may follow, of which there must be one at least: of each kind the
// strictest applies. Rules that demand a key are followed by no client that sends none, unless all do. What
// is not a matter of strictness, such as the aim, is taken from the first rules.
func strictest(binding []classRules, hasKey bool) requestRules {
	possible := binding
	if !hasKey {
		if unkeyed := withoutKeyed(binding); len(unkeyed) > 0 {
			possible = unkeyed
		}
	}
	merged := requestRules{class: possible[0].class, maxAttempts: possible[0].maxAttempts}
	merged.wait = merged.class.Deadline
	window := balance.Micros(0)
	for _, r := range possible {
		merged.class.Effect = max(merged.class.Effect, r.class.Effect)
		merged.class.Need = max(merged.class.Need, r.class.Need)
		merged.class.Floor = max(merged.class.Floor, r.class.Floor)
		// A request that states its time may follow the longest deadline; one that does not, the shortest.
		merged.class.Deadline = max(merged.class.Deadline, r.class.Deadline)
		merged.wait = min(merged.wait, r.class.Deadline)
		if r.keyed() {
			merged.sendKey = true
			if window == 0 || r.class.Window < window {
				window = r.class.Window
			}
		}
	}
	if merged.sendKey {
		merged.class.Window = window
	}
	for _, r := range binding {
		merged.maxAttempts = min(merged.maxAttempts, r.maxAttempts)
	}
	return merged
}

// withoutKeyed returns the rules that demand no key.
func withoutKeyed(binding []classRules) []classRules {
	return slices.DeleteFunc(slices.Clone(binding), func(r classRules) bool { return r.keyed() })
}
