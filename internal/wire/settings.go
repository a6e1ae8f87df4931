package wire

import (
	"fmt"
	"strconv"
	"strings"

	"lapislever/balance"
)

// params looks up settings by path and keeps the first error.
type params struct {
	values map[string]string
	err    error
}

func (p *params) fail(path, problem string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %s", path, problem)
	}
}

// number returns a number, or the default from the protocol page if the key is missing.
func (p *params) number(path string, defaultValue float64) float64 {
	s, ok := p.values[path]
	if !ok || s == "" {
		return defaultValue
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		p.fail(path, fmt.Sprintf("%q is not a number", s))
	}
	return v
}

// required returns a number whose key must be present.
func (p *params) required(path string) float64 {
	if _, ok := p.values[path]; !ok {
		p.fail(path, "is missing")
	}
	return p.number(path, 0)
}

func (p *params) flag(path string) bool {
	switch s := p.values[path]; s {
	case "true", "1":
		return true
	case "false", "0", "":
	default:
		p.fail(path, fmt.Sprintf("%q is neither true nor false", s))
	}
	return false
}

// listItem returns number i of a comma-separated list, or the default if the list is shorter.
func (p *params) listItem(path string, i int, defaultValue float64) float64 {
	items := strings.Split(p.values[path], ",")
	if i >= len(items) || items[i] == "" {
		return defaultValue
	}
	v, err := strconv.ParseFloat(items[i], 64)
	if err != nil {
		p.fail(path, fmt.Sprintf("%q is not a number", items[i]))
	}
	return v
}

// ParseSettings parses the text of a Spawn record into the module's settings. Unknown keys are ignored.
func ParseSettings(text string) (balance.Settings, error) {
	p := &params{values: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			p.values[k] = v
		}
	}
	micros := func(path string) balance.Micros { return balance.Micros(p.number(path, 0)) }
	s := balance.Settings{
		OverShareWorth: p.number("overShareWorth", 1),
		WorthByWork:    p.values["worthBy"] == "work",
		Peers:          int(p.number("peersTotal", 1)),
		Number:         int(p.number("me", 0)),
		Zone:           int(p.number("zone", 0)),
		Tick:           micros("quantumUs"),
		Cells:          int(p.required("extra.places")),
		Reach:          int(p.required("extra.reach")),
		BatchMax:       int(p.number("extra.bundleMax", 1)),
		CallCost:       micros("extra.callCostUs"),
		CrossCost:      p.number("costs.crossZone", 0),
		Subscribe:      p.values["membershipMode"] == "subscribe",
		MustAsk:        micros("rules.mustAskInUs"),
		DialTimeout:    micros("bounds.dialTimeoutUs"),
		MaxOpen:        int(p.number("bounds.maxOpen", 0)),
		MaxAttempts:    int(p.required("bounds.sendCap")),
		CanCancel:      p.flag("bounds.cancel"),
		CanCopy:        p.flag("bounds.secondCopies"),
		CanProbe:       p.flag("bounds.probes"),
		CanTell:        p.flag("bounds.peers"),
		MarksRepeat:    p.flag("callers.marksRetry"),
		CanAdvise:      p.flag("bounds.retryAfter"),
		MaxRetryAfter:  micros("bounds.maxRetryAfterUs"),
		ColdShare:      p.number("rules.coldFrom", 1),
		Ramp:           micros("rules.rampTimeUs"),
		FallMultiple:   p.number("rules.fallMultiple", 0),
		FallSpan:       micros("rules.fallUs"),
		SpareAttempts:  p.number("rules.spareAttempts", 0),
		ResendRatio:    p.number("rules.resendRatio", 0),
		ResendSpan:     micros("rules.resendSpanUs"),
		ReportQueue:    -1,
	}
	for i, name := range strings.Split(p.values["reporting.columns"], ",") {
		if name == "waiting" && p.values["reporting.via"] != "none" {
			s.ReportQueue = i
		}
	}
	for i := range int(p.required("lanes.count")) {
		prefix := fmt.Sprintf("lanes.%d.", i)
		c := balance.Class{
			Aim:        balance.Micros(p.required(prefix + "goalTimeUs")),
			Deadline:   balance.Micros(p.required(prefix + "hardLimitUs")),
			AimStretch: p.number(prefix+"aimStretch", 0),
			Window:     micros(prefix + "windowUs"),
			Worth:      p.number(prefix+"worth", 1),
			LateWorth:  p.number(prefix+"lateWorth", 0),
			Need:       p.listItem("extra.classNeed", i, 1),
			Floor:      p.listItem("extra.leastShare", i, 1),
			Partial:    p.listItem("extra.partialEarns", i, 0),
			SecondStep: int(p.listItem("extra.followUp", i, 0)),
		}
		switch e := p.values[prefix+"idempotency"]; e {
		case "read_like":
			c.Effect = balance.Safe
		case "idempotency_key":
			c.Effect = balance.Keyed
		case "non_idempotent":
			c.Effect = balance.Unsafe
		default:
			p.fail(prefix+"idempotency", fmt.Sprintf("%q is not known", e))
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range int(p.number("tenants.count", 0)) {
		s.Tenants = append(s.Tenants, balance.Tenant{Quota: p.number(fmt.Sprintf("tenants.%d.quotaRps", i), 0)})
	}
	return s, p.err
}
