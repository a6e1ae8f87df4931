// Package importer converts the load balancers of mod_jk worker files (workers.properties) and of Apache
// httpd's proxy configuration into the configuration file of the range-query front or of the translating
// front. It never guesses silently: settings without a counterpart are reported with their line, and
// malformed input is an error.
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

	"lapislever/internal/legacyfront"
	"lapislever/internal/promql"
)

// Remark reports a setting that has no counterpart here, or that is taken over with another meaning.
type Remark struct {
	Line int
	Text string
}

// Result is the generated configuration file with the remarks on its source.
type Result struct {
	File    string
	Remarks []Remark
}

// The fronts that a file can be generated for.
const (
	TargetPromQL    = "promql"
	TargetTranslate = "translate"
)

// Options control what is generated.
type Options struct {
	Target string // TargetPromQL or TargetTranslate
	Listen string // address that the front listens on; for TargetTranslate, its AJP listener
	Class  string // class of all requests
}

// reader holds the state of one import.
type reader struct {
	target      string
	draining    map[string]bool   // servers that receive no new requests
	ajpSettings map[string]string // worker settings that the front's AJP listener takes over
	remarks     []Remark
	servers     []promql.Server
	serverLines map[string]int // by server name, the line that it comes from
}

func (r *reader) remark(line int, format string, args ...any) {
	r.remarks = append(r.remarks, Remark{line, fmt.Sprintf(format, args...)})
}

// malformed returns the error for a malformed line.
func malformed(line int, format string, args ...any) error {
	return fmt.Errorf("line %d: %s", line, fmt.Sprintf(format, args...))
}

// Import converts a file of either syntax. The members of one balancer are replicas of each other, so each
// balancer becomes one cell, in the order of the file.
func Import(text string, o Options) (*Result, error) {
	if o.Target != TargetPromQL && o.Target != TargetTranslate {
		return nil, fmt.Errorf("nothing is made for %q: promql or translate", o.Target)
	}
	if o.Class == "" {
		return nil, errors.New("the class is missing that requests count as: these files name none")
	}
	r := &reader{target: o.Target, serverLines: map[string]int{}, draining: map[string]bool{},
		ajpSettings: map[string]string{}}
	var err error
	if isApache(text) {
		err = r.parseApache(text)
	} else {
		err = r.parseWorkers(text)
	}
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if o.Target == TargetTranslate {
		err = toml.NewEncoder(&b).Encode(r.translateConfig(o))
	} else {
		err = toml.NewEncoder(&b).Encode(promql.Config{Listen: o.Listen, Class: o.Class, Servers: r.servers})
	}
	if err != nil {
		return nil, err
	}
	if o.Target == TargetTranslate { // the serve command must accept the generated file
		_, err = legacyfront.ParseConfig("the list that comes of it", b.String())
	} else if _, err = promql.ParseConfig(b.String()); err != nil {
		err = fmt.Errorf("the list that comes of it is not sound: %w", err)
	}
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(r.remarks, func(a, b Remark) int { return a.Line - b.Line })
	return &Result{File: b.String(), Remarks: r.remarks}, nil
}

// Times of the imported class. The source files do not say how long a request may take or whether it may be
// repeated. The class is therefore unsafe to repeat, and its times are the defaults of range queries without
// the platform.
const (
	classAim      = 3.0  // seconds
	classDeadline = 10.0 // seconds
)

// translateConfig returns the configuration of the translating front. The workers become nodes of the new
// form, and the web server that forwarded to them by AJP forwards to the coordinator instead. The operator
// has to review the class, as only its name is given.
func (r *reader) translateConfig(o Options) *legacyfront.Config {
	listen := o.Listen
	c := &legacyfront.Config{Classes: []legacyfront.Class{
		{Name: o.Class, Effect: "unsafe", Aim: classAim, Deadline: classDeadline, Worth: 1}}}
	c.AJP.Listen, c.AJP.Secret = listen, r.ajpSettings["secret"]
	c.AJP.Packet, _ = strconv.Atoi(r.ajpSettings["max_packet_size"])
	for _, s := range r.servers {
		c.Servers = append(c.Servers, legacyfront.Server{Name: s.Name, Address: s.Address,
			Form: legacyfront.NewForm, Cell: s.Cell,
			Share: s.Share, Draining: r.draining[s.Name]})
	}
	return c
}

var apacheDirective = regexp.MustCompile(`(?im)^\s*(<Proxy\s|BalancerMember\s|ProxyPass)`)

func isApache(text string) bool { return apacheDirective.MatchString(text) }

// addServer adds a server to a cell, unless its name is taken.
func (r *reader) addServer(line int, name, address string, cell int, share float64) {
	if first, taken := r.serverLines[name]; taken {
		r.remark(line, "%s is left out of cell %d: line %d has a server of that name already", name, cell, first)
		return
	}
	r.serverLines[name] = line
	r.servers = append(r.servers, promql.Server{Name: name, Address: address, Cell: cell, Share: &share})
}

// property is the value of one worker setting.
type property struct {
	value string
	line  int
}

// worker is one mod_jk worker with the settings given for itself, without those from its reference.
type worker struct {
	line  int // of its first setting
	props map[string]property
}

// cumulativeSettings lists the settings whose values add up over several lines. For all others a later line
// replaces an earlier one.
var cumulativeSettings = map[string]bool{"balance_workers": true, "balanced_workers": true, "mount": true}

// jkFile is a parsed workers.properties file.
type jkFile struct {
	workers    map[string]*worker
	order      []string // worker names in the order of the file
	workerList []string // worker.list
}

// parseWorkers converts the lb workers of mod_jk's workers.properties.
func (r *reader) parseWorkers(text string) error {
	f, err := r.parseProperties(text)
	if err != nil {
		return err
	}
	cell := 0
	used := map[string]bool{}
	for _, name := range f.order {
		kind, _, err := f.lookup(name, "type")
		if err != nil {
			return err
		}
		if kind.value != "lb" {
			continue
		}
		if len(f.workerList) > 0 && !slices.Contains(f.workerList, name) && !f.isTemplate(name) {
			r.remark(f.workers[name].line, "balancer %s is not in worker.list, and left out", name)
			continue
		}
		if err := r.addBalancer(f, name, cell, used); err != nil {
			return err
		}
		cell++
	}
	if cell == 0 {
		return fmt.Errorf("there is no worker of type lb in worker.list")
	}
	for _, name := range f.order {
		w := f.workers[name]
		if kind, _, _ := f.lookup(name, "type"); !used[name] && kind.value != "lb" && !f.isTemplate(name) {
			r.remark(w.line, "worker %s of type %q is no member of a balancer, and left out", name, kind.value)
		}
	}
	return nil
}

// parseProperties parses lines of name=value. $(name) stands for the value of an earlier line.
func (r *reader) parseProperties(text string) (*jkFile, error) {
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
			start := strings.Index(value, "$(")
			if start < 0 {
				break
			}
			length := strings.IndexByte(value[start:], ')')
			if length < 0 {
				return nil, malformed(n, "$( without an end")
			}
			v, known := macros[value[start+2:start+length]]
			if !known {
				return nil, malformed(n, "%s is not defined above", value[start:start+length+1])
			}
			value = value[:start] + v + value[start+length+1:]
		}
		macros[key] = value
		rest, ok := strings.CutPrefix(key, "worker.")
		if !ok {
			if len(key) > 7 && strings.HasPrefix(key, "workers.") {
				r.remark(n, "%s has no counterpart", key)
			}
			continue // defines a variable for $(name)
		}
		dot := strings.LastIndexByte(rest, '.')
		switch {
		case rest == "list":
			f.workerList = append(f.workerList, splitList(value)...)
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
		if earlier, dup := w.props[setting]; dup && cumulativeSettings[setting] {
			value = earlier.value + "," + value
		} else if dup {
			r.remark(n, "%s replaces line %d", key, earlier.line)
		}
		w.props[setting] = property{value, n}
	}
	return f, nil
}

// splitList splits a list at commas and blanks.
func splitList(list string) []string {
	return strings.FieldsFunc(list, func(c rune) bool { return c == ',' || c == ' ' || c == '\t' })
}

// lookup returns a worker's setting: its own, or else the one inherited through its references.
func (f *jkFile) lookup(name, setting string) (property, bool, error) {
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

// isTemplate reports whether another worker references this one.
func (f *jkFile) isTemplate(name string) bool {
	for _, w := range f.workers {
		if w.props["reference"].value == "worker."+name {
			return true
		}
	}
	return false
}

// knownSettings lists the settings that are converted. All others are reported in remarks.
var knownSettings = map[string]bool{"type": true, "host": true, "port": true, "lbfactor": true,
	"activation": true, "route": true, "reference": true, "balance_workers": true, "balanced_workers": true}

// reportUnknown adds a remark for each of a worker's settings without a counterpart.
func (r *reader) reportUnknown(name string, w *worker) {
	for setting, p := range w.props {
		if r.target == TargetTranslate && (setting == "secret" || setting == "max_packet_size") {
			continue
		}
		if !knownSettings[setting] {
			r.remark(p.line, "worker.%s.%s has no counterpart", name, setting)
		}
	}
}

// addBalancer converts one lb worker to a cell and marks its members in used.
func (r *reader) addBalancer(f *jkFile, name string, cell int, used map[string]bool) error {
	w := f.workers[name]
	r.reportUnknown(name, w)
	var members []string
	for _, setting := range []string{"balance_workers", "balanced_workers"} {
		p, _, err := f.lookup(name, setting)
		if err != nil {
			return err
		}
		members = append(members, splitList(p.value)...)
	}
	if len(members) == 0 {
		return malformed(w.line, "balancer %s has no balance_workers", name)
	}
	before := len(r.servers)
	for _, m := range members {
		member := f.workers[m]
		if member == nil {
			return malformed(w.line, "balancer %s: worker %s is not defined", name, m)
		}
		if !used[m] {
			r.reportUnknown(m, member)
		}
		used[m] = true
		if err := r.addWorker(f, m, cell); err != nil {
			return err
		}
	}
	if len(r.servers) == before {
		return malformed(w.line, "balancer %s has no member in use", name)
	}
	return nil
}

// addWorker adds one member worker to a cell.
func (r *reader) addWorker(f *jkFile, name string, cell int) error {
	line := f.workers[name].line
	settings := map[string]property{"type": {"ajp13", line}, "host": {"localhost", line},
		"lbfactor": {"1", line}, "activation": {"A", line}, "route": {name, line}}
	for _, setting := range []string{"type", "host", "port", "lbfactor", "activation", "route"} {
		p, ok, err := f.lookup(name, setting)
		if err != nil {
			return err
		}
		if ok {
			settings[setting] = p
		}
	}
	port := settings["port"]
	switch kind := settings["type"]; kind.value {
	case "ajp13", "ajp14":
		if port.value == "" {
			port.value = map[string]string{"ajp13": "8009", "ajp14": "8011"}[kind.value]
		}
		if r.target == TargetTranslate {
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
	share, err := strconv.ParseFloat(settings["lbfactor"].value, 64)
	if err != nil || !(share > 0) || share > 1e6 {
		return malformed(settings["lbfactor"].line, "lbfactor %q", settings["lbfactor"].value)
	}
	switch a := settings["activation"]; strings.ToUpper(a.value) {
	case "A", "ACTIVE":
	case "D", "DISABLED", "S", "STOPPED":
		if r.target != TargetTranslate {
			r.remark(a.line, "worker %s is not active (%s), and left out", name, a.value)
			return nil
		}
		r.draining[settings["route"].value] = true
	default:
		return malformed(a.line, "activation %q", a.value)
	}
	if r.target == TargetTranslate {
		for _, setting := range []string{"secret", "max_packet_size"} {
			p, ok, err := f.lookup(name, setting)
			if err != nil {
				return err
			}
			switch first, set := r.ajpSettings[setting]; {
			case !ok || set && first == p.value:
			case set:
				r.remark(p.line, "worker %s has another %s than those before: the front's listener keeps the first", name,
					setting)
			default:
				r.ajpSettings[setting] = p.value
			}
		}
	}
	r.addServer(line, settings["route"].value, net.JoinHostPort(settings["host"].value, port.value), cell, share)
	return nil
}

// apacheBalancer is one balancer of Apache's proxy configuration.
type apacheBalancer struct {
	name    string
	line    int
	members []apacheMember
}

// apacheMember is one BalancerMember directive with its arguments.
type apacheMember struct {
	line int
	args []string
}

// parseApache converts the <Proxy balancer://...> sections and BalancerMember directives of a configuration.
func (r *reader) parseApache(text string) error {
	var all []*apacheBalancer
	balancerNamed := func(name string, line int) *apacheBalancer {
		for _, b := range all {
			if b.name == name {
				return b
			}
		}
		all = append(all, &apacheBalancer{name: name, line: line})
		return all[len(all)-1]
	}
	var current *apacheBalancer
	section := 0 // line of the enclosing <Proxy>; 0: none
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
		inner := strings.TrimSuffix(line, ">")
		isSection := strings.HasPrefix(line, "<")
		if isSection && inner == line {
			return malformed(n, "%q has no end", line)
		}
		if isSection {
			line = inner[1:]
		}
		words, err := splitArgs(line)
		if err != nil {
			return malformed(n, "%v", err)
		}
		if len(words) == 0 {
			return malformed(n, "an empty section")
		}
		directive := strings.ToLower(words[0])
		switch {
		case isSection && directive == "proxy":
			if section > 0 {
				return malformed(n, "<Proxy> within the one of line %d", section)
			}
			if section = n; len(words) != 2 {
				return malformed(n, "<Proxy> takes one URL")
			}
			if name, ok := balancerName(words[1]); ok {
				current = balancerNamed(name, n)
			} else {
				r.remark(n, "<Proxy %s> is no balancer, and left out", words[1])
			}
		case isSection && directive == "/proxy":
			if section == 0 {
				return malformed(n, "</Proxy> without a <Proxy>")
			}
			current, section = nil, 0
		case !isSection && directive == "balancermember":
			target, args := current, words[1:]
			if len(args) > 0 {
				if name, ok := balancerName(args[0]); ok {
					if section > 0 {
						return malformed(n, "BalancerMember names a balancer within <Proxy>")
					}
					target, args = balancerNamed(name, n), args[1:]
				}
			}
			if target == nil {
				return malformed(n, "BalancerMember belongs to no balancer")
			}
			if len(args) == 0 {
				return malformed(n, "BalancerMember has no URL")
			}
			target.members = append(target.members, apacheMember{n, args})
		case isSection && strings.HasPrefix(directive, "/"): // its opening line has been reported
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
			if err := r.addBalancerMember(m, cell); err != nil {
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

// balancerName returns the name in a balancer:// URL; false if the text is none.
func balancerName(text string) (string, bool) {
	if len(text) < 11 || !strings.EqualFold(text[:11], "balancer://") {
		return "", false
	}
	return strings.TrimSuffix(strings.ToLower(text[11:]), "/"), true
}

// splitArgs splits a line into arguments like Apache: at blanks outside quotes.
func splitArgs(line string) ([]string, error) {
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

// addBalancerMember adds the server of one BalancerMember to a cell.
func (r *reader) addBalancerMember(m apacheMember, cell int) error {
	u, err := url.Parse(m.args[0])
	if err != nil || u.Host == "" {
		return malformed(m.line, "BalancerMember %q is no URL", m.args[0])
	}
	address, name, share, leftOut := u.Host+strings.TrimSuffix(u.EscapedPath(), "/"), u.Host, 1.0, ""
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
		leftOut = fmt.Sprintf("%s: only plain HTTP is spoken", m.args[0])
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
						leftOut = fmt.Sprintf("%s has status %s", m.args[0], value)
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
	if leftOut != "" {
		r.remark(m.line, "%s, and is left out", leftOut)
		return nil
	}
	r.addServer(m.line, name, address, cell, share)
	return nil
}
