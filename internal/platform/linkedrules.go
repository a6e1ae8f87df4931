package platform

// The rules of the processes of an upgrade. Both are one coordinator to clients, so that a request is held to
// the rules that bind in either process, whichever of them has read the settings that a client follows.

import (
	"maps"
	"math"
	"slices"
	"time"

	"lapislever/balance"
)

// ruleSetMessage is a set of rules on the link between two processes.
type ruleSetMessage struct {
	Classes     map[string]balance.Class `json:"classes"`
	MaxAttempts int                      `json:"attempts"`
	Left        balance.Micros           `json:"left,omitempty"` // how long requests may follow it; 0: in force
}

// message returns the set in the link's form.
func (s *ruleSet) message(now time.Time) ruleSetMessage {
	m := ruleSetMessage{Classes: make(map[string]balance.Class, len(s.classes)), MaxAttempts: s.maxAttempts}
	for name, class := range s.classes {
		m.Classes[name] = encodable(class)
	}
	if !s.until.IsZero() {
		m.Left = max(1, s.until.Sub(now).Microseconds())
	}
	return m
}

// encodable returns the class with every number in the range that JSON has.
func encodable(class balance.Class) balance.Class {
	for _, v := range []*float64{&class.AimStretch, &class.Worth, &class.LateWorth, &class.Partial} {
		if math.IsNaN(*v) {
			*v = 0
		}
		*v = min(max(*v, -math.MaxFloat64), math.MaxFloat64)
	}
	return class
}

// ruleMessages returns all rules that bind here, but for those that the process at the given link has stated.
func (c *Config) ruleMessages(without *link, now time.Time) []ruleSetMessage {
	own := c.rulesInForce()
	messages := []ruleSetMessage{own.message(now)}
	for i := range c.otherRules {
		if s := &c.otherRules[i]; s.binds(now) && (s.origin == nil || s.origin != without) {
			messages = append(messages, s.message(now))
		}
	}
	return messages
}

// withLinkedRules returns the configuration with the rules that the process at a link states now, in place of
// what it stated before.
func (c *Config) withLinkedRules(origin *link, messages []ruleSetMessage, now time.Time) *Config {
	merged := *c
	merged.otherRules = nil
	for _, s := range c.otherRules {
		if s.binds(now) && s.origin != origin {
			merged.otherRules = append(merged.otherRules, s)
		}
	}
	for _, m := range messages {
		s := ruleSet{classes: m.Classes, maxAttempts: m.MaxAttempts, origin: origin}
		if m.Left > 0 {
			s.until = now.Add(time.Duration(m.Left) * time.Microsecond)
		}
		merged.otherRules = append(merged.otherRules, s)
	}
	return &merged
}

// withoutLink returns the configuration after a link has closed. Clients may not have learnt yet that the
// rules in force in the other process are over.
func (c *Config) withoutLink(origin *link, now time.Time) *Config {
	merged := *c
	merged.otherRules = nil
	for _, s := range c.otherRules {
		if s.origin == origin {
			s.origin = nil
			if s.until.IsZero() {
				s.until = now.Add(settingsOverlap)
			}
		}
		if s.binds(now) {
			merged.otherRules = append(merged.otherRules, s)
		}
	}
	return &merged
}

// succeed returns the configuration of a process that takes over: with the rules that bind in its
// predecessor, and with the classes that only these name, as dropped ones, so that their requests can be
// served.
func (c *Config) succeed(received *receivedSockets, now time.Time) *Config {
	merged := c.withLinkedRules(received.link, received.hello.Rules, now)
	merged.Classes, merged.Module.Classes = slices.Clone(c.Classes), slices.Clone(c.Module.Classes)
	for i := range merged.otherRules {
		classes := merged.otherRules[i].classes
		for _, name := range slices.Sorted(maps.Keys(classes)) {
			if slices.Contains(merged.Classes, name) {
				continue
			}
			dropped := classes[name]
			dropped.Dropped = true
			merged.Classes = append(merged.Classes, name)
			merged.Module.Classes = append(merged.Module.Classes, dropped)
		}
	}
	return merged
}

// putInForce makes a configuration the current one, for new requests. The caller holds mu.
func (k *Coordinator) putInForce(cfg *Config) {
	k.current = cfg
	k.nodes.cfg.Store(cfg)
	k.front.cfg.Store(cfg)
	for _, x := range k.extras {
		x.SetConfig(cfg)
	}
	k.limitShutdown()
}

// setLinkedRules takes in the rules that the process at a link states, and passes them on.
func (k *Coordinator) setLinkedRules(origin *link, messages []ruleSetMessage) {
	k.mu.Lock()
	k.putInForce(k.current.withLinkedRules(origin, messages, time.Now()))
	k.mu.Unlock()
	k.upgrade.sendRules(origin)
}

// endLinkedRules has the rules of the process at a link end, as the link has closed.
func (k *Coordinator) endLinkedRules(origin *link) {
	k.mu.Lock()
	k.putInForce(k.current.withoutLink(origin, time.Now()))
	k.mu.Unlock()
	k.upgrade.sendRules(origin)
}

// sendRules states the rules that bind here to the linked processes, but for the one that they came from.
func (u *upgrade) sendRules(cause *link) {
	u.rulesMu.Lock() // the rules stated last are the last ones sent
	defer u.rulesMu.Unlock()
	for _, l := range u.linksBut(cause) {
		l.send(linkMessage{Rules: u.k.ruleMessages(l)})
	}
}

// ruleMessages returns the rules that bind here, for the process at a link.
func (k *Coordinator) ruleMessages(to *link) []ruleSetMessage {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current.ruleMessages(to, time.Now())
}
