package wire

import (
	"fmt"
	"strconv"
	"strings"

	"lapislever/balance"
)

// params looks up settings by path and keeps the first error.
type params struct {
	m   map[string]string
	err error
}

func (p *params) miss(path, why string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %s", path, why)
	}
}

// number returns a number. If the key is missing it returns absent, the default that the protocol page
// defines.
func (p *params) num(path string, absent float64) float64 {
	s, ok := p.m[path]
	if !ok || s == "" {
		return absent
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		p.miss(path, fmt.Sprintf("%q is not a number", s))
	}
	return v
}

// required returns a number whose key must be present.
func (p *params) must(path string) float64 {
	if _, ok := p.m[path]; !ok {
		p.miss(path, "is missing")
	}
	return p.num(path, 0)
}

func (p *params) flag(path string) bool {
	switch s := p.m[path]; s {
	case "true", "1":
		return true
	case "false", "0", "":
	default:
		p.miss(path, fmt.Sprintf("%q is neither true nor false", s))
	}
	return false
}

// listItem returns number i of a comma-separated list.
func (p *params) item(path string, i int, absent float64) float64 {
	items := strings.Split(p.m[path], ",")
	if i >= len(items) || items[i] == "" {
		return absent
	}
	v, err := strconv.ParseFloat(items[i], 64)
	if err != nil {
		p.miss(path, fmt.Sprintf("%q is not a number", items[i]))
	}
	return v
}

// ParseSettings parses the text of a Spawn record into the module's settings. Unknown keys are ignored.
func ParseSettings(text string) (balance.Settings, error) {
	p := &params{m: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			p.m[k] = v
		}
	}
	us := func(path string) balance.Micros { return balance.Micros(p.num(path, 0)) }
	s := balance.Settings{
		OverShareWorth: p.num("overShareWorth", 1),
		WorthByWork:    p.m["worthBy"] == "work",
		Peers:          int(p.num("peersTotal", 1)),
		Number:         int(p.num("me", 0)),
		Zone:           int(p.num("zone", 0)),
		Tick:           us("quantumUs"),
		Cells:          int(p.must("extra.places")),
		Reach:          int(p.must("extra.reach")),
		BatchMax:       int(p.num("extra.bundleMax", 1)),
		CallCost:       us("extra.callCostUs"),
		CrossCost:      p.num("costs.crossZone", 0),
		Subscribe:      p.m["membershipMode"] == "subscribe",
		MustAsk:        us("rules.mustAskInUs"),
		DialTimeout:    us("bounds.dialTimeoutUs"),
		MaxOpen:        int(p.num("bounds.maxOpen", 0)),
		MaxAttempts:    int(p.must("bounds.sendCap")),
		CanCancel:      p.flag("bounds.cancel"),
		CanCopy:        p.flag("bounds.secondCopies"),
		CanProbe:       p.flag("bounds.probes"),
		CanTell:        p.flag("bounds.peers"),
		MarksRepeat:    p.flag("callers.marksRetry"),
		CanAdvise:      p.flag("bounds.retryAfter"),
		MaxRetryAfter:  us("bounds.maxRetryAfterUs"),
		ColdShare:      p.num("rules.coldFrom", 1),
		Ramp:           us("rules.rampTimeUs"),
		FallMultiple:   p.num("rules.fallMultiple", 0),
		FallSpan:       us("rules.fallUs"),
		SpareAttempts:  p.num("rules.spareAttempts", 0),
		ResendRatio:    p.num("rules.resendRatio", 0),
		ResendSpan:     us("rules.resendSpanUs"),
		ReportQueue:    -1,
	}
	for i, name := range strings.Split(p.m["reporting.columns"], ",") {
		if name == "waiting" && p.m["reporting.via"] != "none" {
			s.ReportQueue = i
		}
	}
	for i := range int(p.must("lanes.count")) {
		at := fmt.Sprintf("lanes.%d.", i)
		c := balance.Class{
			Aim:        balance.Micros(p.must(at + "goalTimeUs")),
			Deadline:   balance.Micros(p.must(at + "hardLimitUs")),
			AimStretch: p.num(at+"aimStretch", 0),
			Window:     us(at + "windowUs"),
			Worth:      p.num(at+"worth", 1),
			LateWorth:  p.num(at+"lateWorth", 0),
			Need:       p.item("extra.classNeed", i, 1),
			Floor:      p.item("extra.leastShare", i, 1),
			Partial:    p.item("extra.partialEarns", i, 0),
			SecondStep: int(p.item("extra.followUp", i, 0)),
		}
		switch e := p.m[at+"idempotency"]; e {
		case "read_like":
			c.Effect = balance.Safe
		case "idempotency_key":
			c.Effect = balance.Keyed
		case "non_idempotent":
			c.Effect = balance.Unsafe
		default:
			p.miss(at+"idempotency", fmt.Sprintf("%q is not known", e))
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range int(p.num("tenants.count", 0)) {
		s.Tenants = append(s.Tenants, balance.Tenant{Quota: p.num(fmt.Sprintf("tenants.%d.quotaRps", i), 0)})
	}
	return s, p.err
}
