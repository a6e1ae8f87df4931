package kiosk

// The file's part on admission, and what it makes of it.

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"

	"lapislever/internal/admission"
	lnet "lapislever/internal/net"
	"lapislever/internal/settings"
)

// Caps bind one address, or one block. What is left out is not bound.
type Caps struct {
	Open  *int     `toml:"open,omitempty"`  // connections at a time
	Rate  *float64 `toml:"rate,omitempty"`  // new ones a second
	Burst *float64 `toml:"burst,omitempty"` // that may come at once
}

// Rule is what the file says of a prefix.
type Rule struct {
	Prefix string `toml:"prefix"`
	Caps
	All     *int `toml:"all,omitempty"` // connections of the whole prefix
	Known   bool `toml:"known,omitempty"`
	Gateway bool `toml:"gateway,omitempty"`
}

// Admission is the file's part on who is let in. Without it the budget of descriptors alone speaks.
type Admission struct {
	Reserve int     `toml:"reserve,omitempty"` // places for known clients only
	Proving int     `toml:"proving,omitempty"` // places for those that have yet to prove who they are
	Prove   float64 `toml:"prove_s,omitempty"`
	Track   int     `toml:"track,omitempty"` // addresses, and blocks, that something is remembered of
	Caps
	Block Caps   `toml:"block,omitempty"` // of each /24 and /64
	Rules []Rule `toml:"rule,omitempty"`
}

func (c Caps) validate(f *settings.File, at string) {
	f.Require(c.Open == nil || *c.Open > 0, at+".open", "a cap of nothing or less lets nobody in")
	f.Require(c.Rate == nil || *c.Rate > 0, at+".rate", "a rate of nothing or less lets nobody in")
	f.Require(c.Burst == nil || *c.Burst >= 1, at+".burst", "a burst under 1 lets nobody in")
	f.Require(c.Burst == nil || c.Rate != nil, at+".burst", "is of no use without a rate")
}

// toRule is a cap in the gate's form.
func (c Caps) toRule() (r admission.Rule) {
	if c.Open != nil {
		r.MaxOpen = *c.Open
	}
	if c.Rate != nil {
		r.Rate, r.Burst = *c.Rate, max(1, *c.Rate)
	}
	if c.Burst != nil {
		r.Burst = *c.Burst
	}
	return r
}

// validate notes all that is wrong; places is how many clients there can be at most.
func (a *Admission) validate(f *settings.File, places int) {
	setDefault(&a.Prove, 2)
	setDefault(&a.Track, 10_000)
	f.Require(a.Reserve >= 0, "admission.reserve", "%d is under 0", a.Reserve)
	f.Require(a.Proving >= 0, "admission.proving", "%d is under 0", a.Proving)
	f.Require(a.Reserve+a.Proving < places, "admission.reserve",
		"reserve and proving are %d of the %d places that clients have: none is left for others",
		a.Reserve+a.Proving,
		places)
	f.Require(a.Prove >= 0.1 && a.Prove <= 30, "admission.prove_s", "%g s is not within 0.1 and 30", a.Prove)
	f.Require(a.Track >= 100 && a.Track <= 10_000_000, "admission.track", "%d is not within 100 and 10000000",
		a.Track)
	a.Caps.validate(f, "admission")
	a.Block.validate(f, "admission.block")
	seen := map[netip.Prefix]int{}
	for i, r := range a.Rules {
		at := fmt.Sprintf("admission.rule[%d]", i+1)
		p, err := netip.ParsePrefix(r.Prefix)
		if err != nil {
			f.AddError(at+".prefix", "%q is no prefix such as 10.0.0.0/8", r.Prefix)
			continue
		}
		f.Require(p == p.Masked(), at+".prefix", "%s has bits beyond its length: %s is meant?", p, p.Masked())
		if first, taken := seen[p.Masked()]; taken {
			f.AddError(at+".prefix", "%s is there already, as rule %d", p, first)
		}
		seen[p.Masked()] = i + 1
		f.Require(!r.Known || r.Rate == nil, at+".rate", "contradicts known: known clients are held to no rate")
		f.Require(!r.Known || !r.Gateway, at+".gateway", "contradicts known: whoever is behind it would be known")
		f.Require(r.All == nil || *r.All > 0, at+".all", "a cap of nothing or less lets nobody in")
		r.Caps.validate(f, at)
	}
}

// toLimits is the part in the gate's form.
func (a *Admission) toLimits() admission.Limits {
	l := admission.Limits{Reserve: a.Reserve, Proving: a.Proving, ProveTimeout: seconds(a.Prove).Microseconds(),
		MaxTracked: a.Track, Block: a.Block.toRule(), Default: a.Caps.toRule()}
	for _, r := range a.Rules {
		x := r.Caps.toRule()
		x.Prefix, _ = netip.ParsePrefix(r.Prefix)
		x.Known, x.Gateway = r.Known, r.Gateway
		if r.All != nil {
			x.MaxTotal = *r.All
		}
		l.Rules = append(l.Rules, x)
	}
	return l
}

// ListenTLS is the file's part on TLS towards terminals. Who shows a certificate that roots have signed is
// known.
type ListenTLS struct {
	Cert  string `toml:"cert,omitempty"`
	Key   string `toml:"key,omitempty"`
	Roots string `toml:"client_roots,omitempty"`
}

// load reads the files. Who shows a certificate has to show one that the roots have signed; none need be
// shown.
func (t ListenTLS) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fmt.Errorf("listen_tls: %w", err)
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	if t.Roots != "" {
		text, err := os.ReadFile(t.Roots)
		if err != nil {
			return nil, fmt.Errorf("listen_tls: %w", err)
		}
		c.ClientCAs, c.ClientAuth = x509.NewCertPool(), tls.VerifyClientCertIfGiven
		if !c.ClientCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("listen_tls: %s: no certificate in it", t.Roots)
		}
	}
	return c, nil
}

// Gate is the keeper of the front's listeners, or nil.
func (f *Front) Gate() *lnet.AdmissionController { return f.admission }
