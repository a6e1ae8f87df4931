package legacyfront

// The [admission] and [listen_tls] sections of the configuration file.

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

// Caps limits the connections of an address or a block. An unset limit does not apply.
type Caps struct {
	Open  *int     `toml:"open,omitempty"`  // concurrent connections
	Rate  *float64 `toml:"rate,omitempty"`  // new connections per second
	Burst *float64 `toml:"burst,omitempty"` // new connections at once
}

// Rule is an [[admission.rule]] section: the rules for a prefix.
type Rule struct {
	Prefix string `toml:"prefix"`
	Caps
	All     *int `toml:"all,omitempty"` // concurrent connections of the whole prefix
	Known   bool `toml:"known,omitempty"`
	Gateway bool `toml:"gateway,omitempty"`
}

// Admission is the [admission] section, which decides which connections are admitted. Without it, only the
// descriptor budget limits connections.
type Admission struct {
	Reserve int     `toml:"reserve,omitempty"` // slots reserved for known clients
	Proving int     `toml:"proving,omitempty"` // slots for connections in the TLS handshake
	Prove   float64 `toml:"prove_s,omitempty"`
	Track   int     `toml:"track,omitempty"` // maximum number of addresses, and of blocks, to keep state for
	Caps
	Block Caps   `toml:"block,omitempty"` // limits of each /24 and /64 block
	Rules []Rule `toml:"rule,omitempty"`
}

// validate reports errors of the limits, under keys that begin with section.
func (c Caps) validate(f *settings.File, section string) {
	f.Require(c.Open == nil || *c.Open > 0, section+".open", "a cap of nothing or less lets nobody in")
	f.Require(c.Rate == nil || *c.Rate > 0, section+".rate", "a rate of nothing or less lets nobody in")
	f.Require(c.Burst == nil || *c.Burst >= 1, section+".burst", "a burst under 1 lets nobody in")
	f.Require(c.Burst == nil || c.Rate != nil, section+".burst", "is of no use without a rate")
}

// toRule converts the limits to an admission rule.
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

// validate fills in defaults and reports all errors. maxClients is the maximum number of client connections.
func (a *Admission) validate(f *settings.File, maxClients int) {
	setDefault(&a.Prove, 2)
	setDefault(&a.Track, 10_000)
	f.Require(a.Reserve >= 0, "admission.reserve", "%d is under 0", a.Reserve)
	f.Require(a.Proving >= 0, "admission.proving", "%d is under 0", a.Proving)
	f.Require(a.Reserve+a.Proving < maxClients, "admission.reserve",
		"reserve and proving are %d of the %d places that clients have: none is left for others",
		a.Reserve+a.Proving, maxClients)
	f.Require(a.Prove >= 0.1 && a.Prove <= 30, "admission.prove_s", "%g s is not within 0.1 and 30", a.Prove)
	f.Require(a.Track >= 100 && a.Track <= 10_000_000, "admission.track", "%d is not within 100 and 10000000",
		a.Track)
	a.Caps.validate(f, "admission")
	a.Block.validate(f, "admission.block")
	seen := map[netip.Prefix]int{} // the number of the rule
	for i, r := range a.Rules {
		section := fmt.Sprintf("admission.rule[%d]", i+1)
		p, err := netip.ParsePrefix(r.Prefix)
		if err != nil {
			f.AddError(section+".prefix", "%q is no prefix such as 10.0.0.0/8", r.Prefix)
			continue
		}
		f.Require(p == p.Masked(), section+".prefix", "%s has bits beyond its length: %s is meant?", p, p.Masked())
		if first, duplicate := seen[p.Masked()]; duplicate {
			f.AddError(section+".prefix", "%s is there already, as rule %d", p, first)
		}
		seen[p.Masked()] = i + 1
		f.Require(!r.Known || r.Rate == nil, section+".rate",
			"contradicts known: known clients are held to no rate")
		f.Require(!r.Known || !r.Gateway, section+".gateway",
			"contradicts known: whoever is behind it would be known")
		f.Require(r.All == nil || *r.All > 0, section+".all", "a cap of nothing or less lets nobody in")
		r.Caps.validate(f, section)
	}
}

// toLimits converts the section to the limits of an admission controller.
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

// ListenTLS is the [listen_tls] section: TLS towards clients. A client with a certificate signed by one of
// the roots is known.
type ListenTLS struct {
	Cert  string `toml:"cert,omitempty"`
	Key   string `toml:"key,omitempty"`
	Roots string `toml:"client_roots,omitempty"`
}

// load reads the files. Client certificates are optional, but one that is presented must be signed by a root.
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

// Gate returns the admission controller of the front's listeners, or nil.
func (f *Front) Gate() *lnet.AdmissionController { return f.admission }
