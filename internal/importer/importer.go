// Package importer reads the balancers of Apache's mod_jk worker files and of Apache's proxy configuration,
// and makes the range-query front's file of them. It owns these two syntaxes and what they mean here; it
// must never guess silently: what has no counterpart is reported by its line, and what is malformed is an
// error.
package importer

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"lapislever/internal/kiosk"
	"lapislever/internal/promql"
)

// Remark is what a line says and this program has no counterpart for, or takes in another way.
type Remark struct {
	Line int
	Text string
}

// Result is the front's file and what there is to say of it.
type Result struct {
	File    string
	Remarks []Remark
}

// What a file can be made for.
const (
	TargetPromQL    = "promql"
	TargetTranslate = "translate"
)

// Options say what is to be made.
type Options struct {
	Target string // Ranges or Translation
	Listen string // where the front listens; for translation, by AJP
	Class  string // that requests count as
}

// reader is the state of one import.
type reader struct {
	to       string
	draining map[string]bool   // servers that get nothing new
	ajp      map[string]string // what the front's AJP listener takes over from the workers
	remarks  []Remark
	servers  []promql.Server
	names    map[string]int // to the line of their server
}

func (r *reader) remark(line int, format string, args ...any) {
	r.remarks = append(r.remarks, Remark{line, fmt.Sprintf(format, args...)})
}

func malformed(line int, format string, args ...any) error {
	return fmt.Errorf("line %d: %s", line, fmt.Sprintf(format, args...))
}

// Import reads a file of either kind. Members of one balancer stand in for each other, so each balancer
// becomes one cell, in the order of the file.
func Import(text string, o Options) (*Result, error) {
	if o.Target != TargetPromQL && o.Target != TargetTranslate {
		return nil, fmt.Errorf("nothing is made for %q: promql or translate", o.Target)
	}
	if o.Class == "" {
		return nil, errors.New("the class is missing that requests count as: these files name none")
	}
	r := &reader{to: o.Target, names: map[string]int{}, draining: map[string]bool{}, ajp: map[string]string{}}
	var err error
	if isApache(text) {
		err = r.apache(text)
	} else {
		err = r.workers(text)
	}
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if o.Target == TargetTranslate {
		err = toml.NewEncoder(&b).Encode(r.translation(o))
	} else {
		err = toml.NewEncoder(&b).Encode(promql.Config{Listen: o.Listen, Class: o.Class, Servers: r.servers})
	}
	if err != nil {
		return nil, err
	}
	if o.Target == TargetTranslate { // serve must take what is printed
		_, err = kiosk.ParseConfig("the list that comes of it", b.String())
	} else if _, err = promql.ParseConfig(b.String()); err != nil {
		err = fmt.Errorf("the list that comes of it is not sound: %w", err)
	}
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(r.remarks, func(a, b Remark) int { return a.Line - b.Line })
	return &Result{File: b.String(), Remarks: r.remarks}, nil
}

// The class of an imported front. Nothing in these files tells how long a request may take or whether it may
// be repeated, so that nothing is, and the times are those of a range query's own start without settings.
const (
	classAim      = 3.0  // seconds
	classDeadline = 10.0 // seconds
)

// translation is the file for old terminals: the workers are nodes of the new form, and the front that
// forwarded to them by AJP forwards to us. The class is named by the caller, and is to be looked over.
func (r *reader) translation(o Options) *kiosk.Config {
	listen := o.Listen
	c := &kiosk.Config{Classes: []kiosk.Class{
		{Name: o.Class, Effect: "unsafe", Aim: classAim, Deadline: classDeadline, Worth: 1}}}
	c.AJP.Listen, c.AJP.Secret = listen, r.ajp["secret"]
	c.AJP.Packet, _ = strconv.Atoi(r.ajp["max_packet_size"])
	for _, s := range r.servers {
		c.Servers = append(c.Servers, kiosk.Server{Name: s.Name, Address: s.Address, Form: kiosk.NewForm,
			Cell:  s.Cell,
			Share: s.Share, Draining: r.draining[s.Name]})
	}
	return c
}

var directive = regexp.MustCompile(`(?im)^\s*(<Proxy\s|BalancerMember\s|ProxyPass)`)

func isApache(text string) bool { return directive.MatchString(text) }

// member adds a server to a cell.
func (r *reader) member(line int, name, address string, cell int, share float64) {
	if at, taken := r.names[name]; taken {
		r.remark(line, "%s is left out of cell %d: line %d has a server of that name already", name, cell, at)
		return
	}
	r.names[name] = line
	r.servers = append(r.servers, promql.Server{Name: name, Address: address, Cell: cell, Share: &share})
}

// property is one setting of a worker.
type property struct {
	value string
	line  int
}

// worker is one worker of mod_jk with the settings of its own lines.
type worker struct {
	line  int // of its first setting
	props map[string]property
}

// lists are the settings that add up over lines; elsewhere a later line replaces an earlier one.
var lists = map[string]bool{"balance_workers": true, "balanced_workers": true, "mount": true}

// jkFile is a file of workers.
type jkFile struct {
	workers map[string]*worker
	order   []string
	list    []string // worker.list
}

// workers reads mod_jk's workers.properties.
func (r *reader) workers(text string) error {
	f, err := r.readProperties(text)
	if err != nil {
		return err
	}
	cell := 0
	used := map[string]bool{}
	for _, name := range f.order {
		kind, _, err := f.get(name, "type")
		if err != nil {
			return err
		}
		if kind.value != "lb" {
			continue
		}
		if len(f.list) > 0 && !slices.Contains(f.list, name) && !f.referenced(name) {
			r.remark(f.workers[name].line, "balancer %s is not in worker.list, and left out", name)
			continue
		}
		if err := r.balancer(f, name, cell, used); err != nil {
			return err
		}
		cell++
	}
	if cell == 0 {
		return fmt.Errorf("there is no worker of type lb in worker.list")
	}
	for _, name := range f.order {
		w := f.workers[name]
		if kind, _, _ := f.get(name, "type"); !used[name] && kind.value != "lb" && !f.referenced(name) {
			r.remark(w.line, "worker %s of type %q is no member of a balancer, and left out", name, kind.value)
		}
	}
	return nil
}

// readProperties reads lines of name=value with $(name) for earlier ones.
func (r *reader) readProperties(text string) (*jkFile, error) {
	f := &jkFile{workers: map[string]*worker{}}
	macros := map[string]string{}
	for i, line := range strings.Split(text, "\n") {
		n := i + 1
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if !ok || key == "" {
			return nil, malformed(n, "%q is not name=value", line)
		}
		for {
			a := strings.Index(value, "$(")
			if a < 0 {
				break
			}
			b := strings.IndexByte(value[a:], ')')
			if b < 0 {
				return nil, malformed(n, "$( without an end")
			}
			v, known := macros[value[a+2:a+b]]
			if !known {
				return nil, malformed(n, "%s is not defined above", value[a:a+b+1])
			}
			value = value[:a] + v + value[a+b+1:]
		}
		macros[key] = value
		rest, ok := strings.CutPrefix(key, "worker.")
		if !ok {
			if len(key) > 7 && strings.HasPrefix(key, "workers.") {
				r.remark(n, "%s has no counterpart", key)
			}
			continue // a variable for $( )
		}
		dot := strings.LastIndexByte(rest, '.')
		switch {
		case rest == "list":
			f.list = append(f.list, split(value)...)
			continue
		case dot < 0:
			r.remark(n, "%s has no counterpart", key)
			continue
		case dot == 0 || dot == len(rest)-1:
			return nil, malformed(n, "%s names no worker or no setting", key)
		}
		name, setting := rest[:dot], rest[dot+1:]
		w := f.workers[name]
		if w == nil {
			w = &worker{line: n, props: map[string]property{}}
			f.workers[name] = w
			f.order = append(f.order, name)
		}
		if had, dup := w.props[setting]; dup && lists[setting] {
			value = had.value + "," + value
		} else if dup {
			r.remark(n, "%s replaces line %d", key, had.line)
		}
		w.props[setting] = property{value, n}
	}
	return f, nil
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(c rune) bool { return c == ',' || c == ' ' || c == '\t' })
}

// get looks a setting up, in the worker and then along its references.
func (f *jkFile) get(name, setting string) (property, bool, error) {
	seen := map[string]bool{}
	for {
		w := f.workers[name]
		if w == nil {
			return property{}, false, nil
		}
		if p, ok := w.props[setting]; ok {
			return p, true, nil
		}
		ref, ok := w.props["reference"]
		if !ok {
			return property{}, false, nil
		}
		next, prefixed := strings.CutPrefix(ref.value, "worker.")
		if !prefixed || f.workers[next] == nil {
			return property{}, false, malformed(ref.line, "reference to %q, which is not defined", ref.value)
		}
		if seen[name] = true; seen[next] {
			return property{}, false, malformed(ref.line, "references that run in a circle")
		}
		name = next
	}
}

// referenced tells that a worker serves as a template.
func (f *jkFile) referenced(name string) bool {
	for _, w := range f.workers {
		if w.props["reference"].value == "worker."+name {
			return true
		}
	}
	return false
}

// known are the settings that are read here; of all others a remark tells.
var known = map[string]bool{"type": true, "host": true, "port": true, "lbfactor": true, "activation": true,
	"route": true, "reference": true, "balance_workers": true, "balanced_workers": true}

// unknown reports a worker's settings without counterpart.
func (r *reader) unknown(name string, w *worker) {
	for setting, p := range w.props {
		if r.to == TargetTranslate && (setting == "secret" || setting == "max_packet_size") {
			continue
		}
		if !known[setting] {
			r.remark(p.line, "worker.%s.%s has no counterpart", name, setting)
		}
	}
}

// balancer makes a cell of one lb worker.
func (r *reader) balancer(f *jkFile, name string, cell int, used map[string]bool) error {
	w := f.workers[name]
	r.unknown(name, w)
	var members []string
	for _, setting := range []string{"balance_workers", "balanced_workers"} {
		p, _, err := f.get(name, setting)
		if err != nil {
			return err
		}
		members = append(members, split(p.value)...)
	}
	if len(members) == 0 {
		return malformed(w.line, "balancer %s has no balance_workers", name)
	}
	before := len(r.servers)
	for _, m := range members {
		mw := f.workers[m]
		if mw == nil {
			return malformed(w.line, "balancer %s: worker %s is not defined", name, m)
		}
		if !used[m] {
			r.unknown(m, mw)
		}
		used[m] = true
		if err := r.jkMember(f, m, cell); err != nil {
			return err
		}
	}
	if len(r.servers) == before {
		return malformed(w.line, "balancer %s has no member in use", name)
	}
	return nil
}

// jkMember adds one worker to a cell.
func (r *reader) jkMember(f *jkFile, name string, cell int) error {
	line := f.workers[name].line
	text := map[string]property{"type": {"ajp13", line}, "host": {"localhost", line}, "lbfactor": {"1", line},
		"activation": {"A", line}, "route": {name, line}}
	for _, setting := range []string{"type", "host", "port", "lbfactor", "activation", "route"} {
		p, ok, err := f.get(name, setting)
		if err != nil {
			return err
		}
		if ok {
			text[setting] = p
		}
	}
	port := text["port"]
	switch kind := text["type"]; kind.value {
	case "ajp13", "ajp14":
		if port.value == "" {
			port.value = map[string]string{"ajp13": "8009", "ajp14": "8011"}[kind.value]
		}
		if r.to == TargetTranslate {
			r.remark(kind.line,
				"worker %s speaks %s: its address is taken as a node of the new form, and has to answer gRPC",
				name, kind.value)
		} else {
			r.remark(kind.line, "worker %s speaks %s: its address is taken, and has to answer HTTP", name, kind.value)
		}
	default:
		return malformed(kind.line, "a member of type %q cannot be taken", kind.value)
	}
	if n, err := strconv.Atoi(port.value); err != nil || n < 1 || n > 65535 {
		return malformed(port.line, "port %q", port.value)
	}
	share, err := strconv.ParseFloat(text["lbfactor"].value, 64)
	if err != nil || !(share > 0) || share > 1e6 {
		return malformed(text["lbfactor"].line, "lbfactor %q", text["lbfactor"].value)
	}
	switch a := text["activation"]; strings.ToUpper(a.value) {
	case "A", "ACTIVE":
	case "D", "DISABLED", "S", "STOPPED":
		if r.to != TargetTranslate {
			r.remark(a.line, "worker %s is not active (%s), and left out", name, a.value)
			return nil
		}
		r.draining[text["route"].value] = true
	default:
		return malformed(a.line, "activation %q", a.value)
	}
	if r.to == TargetTranslate {
		for _, setting := range []string{"secret", "max_packet_size"} {
			p, ok, err := f.get(name, setting)
			if err != nil {
				return err
			}
			switch had, before := r.ajp[setting]; {
			case !ok || before && had == p.value:
			case before:
				r.remark(p.line, "worker %s has another %s than those before: the front's listener keeps the first", name,
					setting)
			default:
				r.ajp[setting] = p.value
			}
		}
	}
	r.member(line, text["route"].value, net.JoinHostPort(text["host"].value, port.value), cell, share)
	return nil
}

// apacheBalancer is one balancer of the proxy's configuration.
type apacheBalancer struct {
	name    string
	line    int
	members []apacheMember
}

type apacheMember struct {
	line int
	args []string
}

// apache reads <Proxy balancer://...> sections and BalancerMember directives.
func (r *reader) apache(text string) error {
	var all []*apacheBalancer
	find := func(name string, line int) *apacheBalancer {
		for _, b := range all {
			if b.name == name {
				return b
			}
		}
		all = append(all, &apacheBalancer{name: name, line: line})
		return all[len(all)-1]
	}
	var in *apacheBalancer
	section := 0 // line of the <Proxy> we are in
	lines := strings.Split(text, "\n")
	for i := 0; i < len(lines); i++ {
		n, line := i+1, strings.TrimSpace(lines[i])
		for strings.HasSuffix(line, `\`) && i+1 < len(lines) {
			i++
			line = strings.TrimSuffix(line, `\`) + " " + strings.TrimSpace(lines[i])
		}
		if line == "" || line[0] == '#' {
			continue
		}
		closed := strings.TrimSuffix(line, ">")
		isSection := strings.HasPrefix(line, "<")
		if isSection && closed == line {
			return malformed(n, "%q has no end", line)
		}
		if isSection {
			line = closed[1:]
		}
		words, err := fields(line)
		if err != nil {
			return malformed(n, "%v", err)
		}
		if len(words) == 0 {
			return malformed(n, "an empty section")
		}
		what := strings.ToLower(words[0])
		switch {
		case isSection && what == "proxy":
			if section > 0 {
				return malformed(n, "<Proxy> within the one of line %d", section)
			}
			if section = n; len(words) != 2 {
				return malformed(n, "<Proxy> takes one URL")
			}
			if name, ok := balancerName(words[1]); ok {
				in = find(name, n)
			} else {
				r.remark(n, "<Proxy %s> is no balancer, and left out", words[1])
			}
		case isSection && what == "/proxy":
			if section == 0 {
				return malformed(n, "</Proxy> without a <Proxy>")
			}
			in, section = nil, 0
		case !isSection && what == "balancermember":
			to, args := in, words[1:]
			if len(args) > 0 {
				if name, ok := balancerName(args[0]); ok {
					if section > 0 {
						return malformed(n, "BalancerMember names a balancer within <Proxy>")
					}
					to, args = find(name, n), args[1:]
				}
			}
			if to == nil {
				return malformed(n, "BalancerMember belongs to no balancer")
			}
			if len(args) == 0 {
				return malformed(n, "BalancerMember has no URL")
			}
			to.members = append(to.members, apacheMember{n, args})
		case isSection && strings.HasPrefix(what, "/"): // its beginning was reported
		case isSection:
			r.remark(n, "<%s> has no counterpart", words[0])
		default:
			r.remark(n, "%s has no counterpart", words[0])
		}
	}
	if section > 0 {
		return malformed(section, "<Proxy> has no end")
	}
	cell := 0
	for _, b := range all {
		before := len(r.servers)
		for _, m := range b.members {
			if err := r.apacheMember(m, cell); err != nil {
				return err
			}
		}
		if len(r.servers) == before {
			return malformed(b.line, "balancer %s has no member in use", b.name)
		}
		cell++
	}
	if cell == 0 {
		return fmt.Errorf("there is no balancer")
	}
	return nil
}

func balancerName(text string) (string, bool) {
	if len(text) < 11 || !strings.EqualFold(text[:11], "balancer://") {
		return "", false
	}
	return strings.TrimSuffix(strings.ToLower(text[11:]), "/"), true
}

// fields splits a line as Apache does: at blanks, but for what stands in quotes.
func fields(line string) ([]string, error) {
	var out []string
	for {
		line = strings.TrimLeft(line, " \t")
		if line == "" {
			return out, nil
		}
		var word strings.Builder
		quote := byte(0)
		i := 0
		for ; i < len(line); i++ {
			c := line[i]
			switch {
			case quote != 0 && c == '\\' && i+1 < len(line) && (line[i+1] == quote || line[i+1] == '\\'):
				i++
				word.WriteByte(line[i])
				continue
			case quote != 0 && c == quote:
				quote = 0
				continue
			case quote == 0 && (c == '"' || c == '\''):
				quote = c
				continue
			}
			if quote == 0 && (c == ' ' || c == '\t') {
				break
			}
			word.WriteByte(c)
		}
		if quote != 0 {
			return nil, fmt.Errorf("a quote has no end")
		}
		out, line = append(out, word.String()), line[i:]
	}
}

// apacheMember adds one BalancerMember to a cell.
func (r *reader) apacheMember(m apacheMember, cell int) error {
	u, err := url.Parse(m.args[0])
	if err != nil || u.Host == "" {
		return malformed(m.line, "BalancerMember %q is no URL", m.args[0])
	}
	address, name, share, out := u.Host+strings.TrimSuffix(u.EscapedPath(), "/"), u.Host, 1.0, ""
	if strings.Contains(address, "/") {
		address = "http://" + address
	}
	switch strings.ToLower(u.Scheme) {
	case "http":
		if u.Port() == "" {
			address = "http://" + u.Hostname() + ":80" + strings.TrimSuffix(u.EscapedPath(), "/")
		}
	case "ajp":
		if u.Port() == "" {
			address = net.JoinHostPort(u.Hostname(), "8009")
		}
		r.remark(m.line, "%s speaks ajp: its address is taken, and has to answer HTTP", m.args[0])
	default:
		out = fmt.Sprintf("%s: only plain HTTP is spoken", m.args[0])
	}
	for _, arg := range m.args[1:] {
		key, value, ok := strings.Cut(arg, "=")
		if !ok || value == "" {
			return malformed(m.line, "%q is not key=value", arg)
		}
		switch strings.ToLower(key) {
		case "route":
			name = value
		case "loadfactor":
			if share, err = strconv.ParseFloat(value, 64); err != nil || !(share > 0) || share > 100 {
				return malformed(m.line, "loadfactor %q", value)
			}
		case "status":
			set := true
			for _, c := range strings.ToUpper(value) {
				switch c {
				case '+':
					set = true
				case '-':
					set = false
				case 'D', 'S', 'E', 'N', 'H', 'R':
					if set {
						out = fmt.Sprintf("%s has status %s", m.args[0], value)
					}
				case 'I', 'C':
					r.remark(m.line, "status %c has no counterpart", c)
				default:
					return malformed(m.line, "status %q", value)
				}
			}
		default:
			r.remark(m.line, "%s has no counterpart", key)
		}
	}
	if out != "" {
		r.remark(m.line, "%s, and is left out", out)
		return nil
	}
	r.member(m.line, name, address, cell, share)
	return nil
}
