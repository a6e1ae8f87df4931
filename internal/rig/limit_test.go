package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	limitRate  = 30.0
	limitBurst = 6.0
	// pathJitter is how much longer one query may be on its way to a data node than another one: so much longer
	// a window at the nodes may be than that at the coordinators.
	pathJitter = 400.0 // ms
)

const ratesLimit = "[[limit]]\nname = \"rates\"\nclass = \"rate-check\"\nrate = 30.0\nburst = 6.0\n"

// admittedAt are the moments, in ms, at which a query of the limited class first reached a data node.
func admittedAt(r *Rig) (at []float64) {
	return firstPartTimes(r, func(n int) bool { return n%2 == 0 })
}

// firstPartTimes are the moments at which a query that is meant, by its number, first reached a data node.
func firstPartTimes(r *Rig, meant func(n int) bool) (at []float64) {
	seen := map[string]bool{}
	for _, e := range r.History.Events() {
		id, _, _ := strings.Cut(e.Query, ".")
		var n int
		_, _ = fmt.Sscanf(id, "q%d", &n)
		if e.Kind == KindPart && meant(n) && !seen[id] {
			seen[id] = true
			at = append(at, e.AtMS)
		}
	}
	return at
}

// limitDecisions counts the queries of a span that the limit let in at a member, and how many a bucket with
// nine tenths of the limit would have let in of the same. Where there are always more than that, it is nine
// tenths of the limit. What the fleet turns away as overloaded, as on a busy machine, never comes to the
// limit: counted against it, which this test did, it failed with the whole share in hand (75 of 90 let in, 39
// turned away before).
func (r *Rig) limitDecisions(member string, from, to float64) (n int, most float64) {
	asked := map[string]float64{}
	type met struct {
		at float64
		in bool
	}
	var all []met
	for _, e := range r.History.Events() {
		var number int
		_, _ = fmt.Sscanf(e.Query, "q%d", &number)
		switch {
		case e.Subject != member || number%2 != 0:
		case e.Kind == KindQuery:
			asked[e.Query] = e.AtMS
		case e.Kind == KindAnswer && asked[e.Query] >= from && asked[e.Query] < to:
			if in := e.Status == 200; in || strings.Contains(e.RefusalReason, "limit") {
				all = append(all, met{asked[e.Query], in})
			}
		}
	}
	slices.SortFunc(all, func(a, b met) int { return cmp.Compare(a.at, b.at) })
	tokens, last := 0.0, from
	for _, x := range all {
		tokens = min(0.9*limitBurst, tokens+0.9*limitRate*(x.at-last)/1000)
		if last = x.at; tokens >= 1 {
			tokens--
			most++
		}
		if x.in {
			n++
		}
	}
	return n, most
}

// outcomesBetween counts how queries of the limited class ended, by member and status.
func (r *Rig) outcomesBetween(from, to float64) map[string]int {
	ends := map[string]int{}
	for _, e := range r.History.Events() {
		var n int
		_, _ = fmt.Sscanf(e.Query, "q%d", &n)
		if e.AtMS >= from && e.AtMS < to && n%2 == 0 && (e.Kind == KindAnswer || e.Kind == KindQuery) {
			ends[strings.TrimSpace(fmt.Sprint(e.Kind, " ", e.Subject, " ", e.Status, " ", e.RefusalReason))]++
		}
	}
	return ends
}

// findLimitViolation names the first window in which more reached the data nodes than the limit and its bound
// allow.
func findLimitViolation(at []float64) string { return findRateViolation(at, limitRate, limitBurst) }

func findRateViolation(at []float64, rate, burst float64) string {
	for _, span := range []float64{500, 1000, 3000, 10000} {
		first := 0
		for i, t := range at {
			for at[first] <= t-span {
				first++
			}
			if n, most := float64(i-first+1), rate*(span+pathJitter)/1000+burst; n > most {
				return fmt.Sprintf("%.0f in %.0f ms up to %.0f, where %.0f may be", n, span, t, most)
			}
		}
	}
	return ""
}

// limitShare is what a member's door says of the limit.
func (m *Member) limitShare() (share, inDoubt float64) {
	reply, err := m.CallAdmin("GET", "/admin/limits", "")
	if err != nil || reply.Status != 200 {
		return -1, 0
	}
	var v struct {
		Limits []struct {
			Share   float64
			InDoubt float64 `json:"in_doubt"`
		}
	}
	if json.Unmarshal(reply.Body, &v) != nil || len(v.Limits) != 1 {
		return -1, 0
	}
	return v.Limits[0].Share, v.Limits[0].InDoubt
}

// One limit over three processes: all traffic at one of them gets nine tenths of it within 3 s, a lender
// that is killed and started anew at once does not lend twice, a cut leaves each its own, an upgrade in
// the middle is one member, a stop longer than a term is waited out; and in no window does more reach the
// data nodes than the limit.
func TestLimitAcrossThreeMembers(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 51, Rate: 100, ExtraFleetConfig: ratesLimit, MaxMembers: 3})
	awaitConverged(t, r, "start")
	a, b, c := r.Member("m00"), r.Member("m01"), r.Member("m02")
	b.NoQueries.Store(true)
	c.NoQueries.Store(true)
	if !waitUntil(waitTimeout, func() bool { s, _ := a.limitShare(); return s > 0.9*limitRate }) {
		s, _ := a.limitShare()
		t.Fatalf("all traffic is at one member, and it has %.1f of %.1f", s, limitRate)
	}
	from := r.History.elapsedMS()
	var shares []string // of each member in the course of the 3 s
	for range 15 {
		time.Sleep(200 * time.Millisecond)
		line := fmt.Sprintf("%.0f:", r.History.elapsedMS()-from)
		for _, m := range r.Members() {
			s, d := m.limitShare()
			line += fmt.Sprintf(" %.1f-%.1f", s, d)
		}
		shares = append(shares, line)
	}
	n, most := r.limitDecisions("m00", from, from+3000)
	t.Logf("%d let in within 3 s, of %.0f that a bucket of nine tenths would let in; ends %v", n, most,
		r.outcomesBetween(from, from+3000))
	if float64(n) < 0.85/0.9*most {
		t.Errorf("too little of the limit is let in; shares %v", shares)
	}
	// A lender dies, is back at once and wants its own.
	b.Kill()
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	b.NoQueries.Store(false)
	c.NoQueries.Store(false)
	time.Sleep(20 * period)
	// Each alone, and whole again.
	r.partition([][]string{{"m00"}, {"m01"}, {"m02"}}, false, Fault{})
	time.Sleep(25 * period)
	for _, m := range r.Members() {
		if s, _ := m.limitShare(); s < 0.9*limitRate/3 {
			t.Errorf("%s is cut off and has %.1f of its %.1f", m.Name, s, limitRate/3)
		}
	}
	r.SetAllLinkFaults(Fault{Loss: 0.3, Duplicate: 0.3, Reorder: 0.3})
	a.NoQueries.Store(true)
	time.Sleep(10 * period)
	if err := c.Upgrade(); err != nil {
		t.Fatal(err)
	}
	a.NoQueries.Store(false)
	b.Pause()
	time.Sleep(15 * period) // longer than a term
	b.Resume()
	time.Sleep(10 * period)
	if !r.Quiesce(waitTimeout) {
		t.Fatal("queries without an answer")
	}
	at := admittedAt(r)
	if over := findLimitViolation(at); over != "" {
		t.Error(over)
	}
	turnedAway := 0
	for _, e := range r.History.Events() {
		if e.Kind == KindAnswer && e.Status == 503 {
			turnedAway++
		}
	}
	if turnedAway == 0 {
		t.Error("nothing was refused: the limit was never met")
	}
	for _, f := range Check(r.History.Events(), false) {
		t.Error(f)
	}
	t.Logf("%d let in within %.0f s, %d refused", len(at), r.History.elapsedMS()/1000, turnedAway)
}

// The check of windows finds what is over.
func TestLimitCheckFindsViolation(t *testing.T) {
	var at []float64
	for i := range 400 {
		at = append(at, float64(i)*1000/limitRate)
	}
	if over := findLimitViolation(at); over != "" {
		t.Error(over)
	}
	for i := range at {
		at[i] *= 0.7
	}
	if findLimitViolation(at) == "" {
		t.Error("four tenths too many are not found")
	}
}

// limitAndShare is what a member's door says that the limit is, and its share.
func (m *Member) limitAndShare() (limit, share float64) {
	reply, err := m.CallAdmin("GET", "/admin/limits", "")
	if err != nil || reply.Status != 200 {
		return -1, -1
	}
	var v struct {
		Limits []struct{ Limit, Share float64 }
	}
	if json.Unmarshal(reply.Body, &v) != nil || len(v.Limits) != 1 {
		return -1, -1
	}
	return v.Limits[0].Limit, v.Limits[0].Share
}

// While limits differ, as in a roll-out, the stricter one holds at all, and the door shows who differs; the
// greater one holds once all have it. Who is turned down because there is no room has nothing.
func TestStricterLimitHoldsDuringRollout(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 52, ExtraFleetConfig: ratesLimit, MaxMembers: 3})
	awaitConverged(t, r, "start")
	all := func(want float64) func() bool {
		return func() bool {
			for _, m := range r.Members()[:3] {
				if limit, share := m.limitAndShare(); limit != want || share > want/3 {
					return false
				}
			}
			return true
		}
	}
	change := func(m *Member, to string) {
		t.Helper()
		if err := m.RewriteFiles("rate = 30.0", to); err != nil {
			t.Fatal(err)
		}
		m.Reload()
	}
	if !waitUntil(waitTimeout, all(30)) {
		t.Fatal("not 30 everywhere")
	}
	change(r.Member("m01"), "rate = 15.0")
	if !waitUntil(verdictBound(3)+2*period+2*pollInterval, all(15)) {
		t.Fatal("the stricter one does not hold everywhere in time")
	}
	if !waitUntil(waitTimeout, func() bool { return len(r.Member("m00").View().Figures.Differ) == 1 }) {
		t.Error("it is not shown who differs")
	}
	for _, name := range []string{"m01", "m00"} {
		change(r.Member(name), "rate = 60.0")
	}
	time.Sleep(10 * period)
	if !all(30)() {
		t.Error("the greater one holds before all have it")
	}
	change(r.Member("m02"), "rate = 60.0")
	if !waitUntil(waitTimeout, all(60)) {
		t.Error("all have it, and it does not hold")
	}
	extra, err := r.AddMember()
	if err != nil {
		t.Fatal(err)
	}
	if err := extra.Start(); err != nil {
		t.Fatal(err)
	}
	if !waitUntil(waitTimeout, func() bool { limit, _ := extra.limitAndShare(); return limit > 0 }) {
		t.Fatal("the fourth one does not serve")
	}
	time.Sleep(5 * period)
	if _, share := extra.limitAndShare(); share != 0 {
		t.Errorf("a member for which there is no room has %.1f", share)
	}
}

// holds are the members whose rest a member says that it has.
func (m *Member) leases() (of []string) {
	reply, err := m.CallAdmin("GET", "/admin/limits", "")
	if err != nil || reply.Status != 200 {
		return nil
	}
	var v struct{ Holds []string }
	_ = json.Unmarshal(reply.Body, &v)
	return v.Holds
}

// The rest of a dead member's share is another's within 3 terms and what its death takes to be known, on the
// side of a majority; back, the member has it again; and nothing is over, whatever the views are.
func TestDeadMembersShareIsReused(t *testing.T) {
	const rate, burst = 50.0, 10.0
	r := startRig(t, Config{Members: 5, Seed: 53, Rate: 40, Roster: true,
		ExtraFleetConfig: "[[limit]]\nname = \"rates\"\nclass = \"rate-check\"\nrate = 50.0\nburst = 10.0\n"})
	awaitConverged(t, r, "start")
	own := func(but ...string) func() bool {
		return func() bool {
			for _, m := range r.RunningMembers() {
				if !slices.Contains(but, m.Name) && !slices.Equal(m.leases(), []string{m.Name}) {
					return false
				}
			}
			return true
		}
	}
	if !waitUntil(waitTimeout, own()) {
		t.Fatalf("m00 holds %v", r.Member("m00").leases())
	}
	r.Member("m04").Kill()
	heir := func() *Member {
		for _, m := range r.RunningMembers() {
			if slices.Contains(m.leases(), "m04") {
				return m
			}
		}
		return nil
	}
	bound := time.Duration(CrashPeriods(5)+3*10) * period
	if !waitUntil(bound+2*pollInterval, func() bool { return heir() != nil }) {
		t.Fatal("nobody has the dead member's rest in time")
	}
	time.Sleep(13 * period) // a term and some, until it may be used
	from := r.History.elapsedMS()
	time.Sleep(4 * time.Second)
	n := 0
	for _, at := range admittedAt(r) {
		if at >= from && at < from+4000 {
			n++
		}
	}
	if got := float64(n) / 4; got < 0.82*rate { // of 0.9, and the four alone have 0.8
		t.Errorf("%.1f of %.0f a second in use without one of five", got, rate)
		for _, m := range r.RunningMembers() {
			reply, err := m.CallAdmin("GET", "/admin/limits", "")
			t.Logf("%s: %s %v", m.Name, reply.Body, err)
		}
	}
	if err := r.Member("m04").Start(); err != nil {
		t.Fatal(err)
	}
	if !waitUntil(waitTimeout, own()) {
		t.Fatalf("m04 is back and holds %v", r.Member("m04").leases())
	}
	// Two are cut off: nobody has their rest but by votes, and what they have after a term is the floor.
	r.partition([][]string{{"m00", "m01", "m02"}, {"m03", "m04"}}, false, Fault{})
	if !waitUntil(waitTimeout, func() bool {
		return len(r.Member("m03").leases())+len(r.Member("m04").leases()) == 0 &&
			len(r.Member("m00").leases())+len(r.Member("m01").leases())+len(r.Member("m02").leases()) == 5
	}) {
		t.Fatal("the majority has not taken over")
	}
	time.Sleep(13 * period)
	for _, name := range []string{"m03", "m04"} {
		if s, _ := r.Member(name).limitShare(); s > 0.55*rate/5 || s < 0.45*rate/5 {
			t.Errorf("%s is cut off with one other and has %.1f of its %.1f", name, s, rate/5)
		}
	}
	r.SetAllLinkFaults(Fault{})
	if !waitUntil(waitTimeout, own()) {
		t.Fatal("not each its own after the heal")
	}
	if !r.Quiesce(waitTimeout) {
		t.Fatal("queries without an answer")
	}
	if over := findRateViolation(admittedAt(r), rate, burst); over != "" {
		t.Error(over)
	}
	for _, f := range Check(r.History.Events(), false) {
		t.Error(f)
	}
}

// maxConcurrent is how many parts a node had at the most at a time, if each took at least so long; or, with
// no node named, how many queries that are meant were open.
func maxConcurrent(r *Rig, node string, took float64, meant func(n int) bool) (most int) {
	var at []float64
	if node == "" {
		at = firstPartTimes(r, meant)
	} else {
		for _, e := range r.History.Events() {
			if e.Kind == KindPart && e.Subject == node {
				at = append(at, e.AtMS)
			}
		}
	}
	first := 0
	for i, t := range at {
		for at[first] <= t-took {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// What may be open at a time over the fleet, for a class and at one data node, and a rate for each tenant:
// through a kill and a start at once, a cut, an upgrade and a stop, as the data nodes saw it.
func TestConcurrencyAndPerTenantLimits(t *testing.T) {
	r := startRig(t, Config{Members: 3, Seed: 54, Rate: 60, Roster: true, ExtraFleetConfig: `[[limit]]
name = "posts"
class = "exchange-post"
concurrent = 6
longest_ms = 2100
[[limit]]
name = "tenants"
tenant = "*"
rate = 30.0
burst = 6.0
[[limit]]
name = "weak-node"
server = "n0"
concurrent = 3
longest_ms = 2100
`})
	const took = 150
	r.slowDelay.Store(int64(took * time.Millisecond))
	for i := range 4 {
		r.SetNodeFault(i, Slow)
	}
	awaitConverged(t, r, "start")
	a, b, c := r.Member("m00"), r.Member("m01"), r.Member("m02")
	time.Sleep(15 * period)
	b.NoQueries.Store(true)
	time.Sleep(10 * period)
	b.Kill()
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	b.NoQueries.Store(false)
	time.Sleep(10 * period)
	r.partition([][]string{{"m00"}, {"m01"}, {"m02"}}, false, Fault{})
	time.Sleep(15 * period)
	r.SetAllLinkFaults(Fault{Loss: 0.2})
	if err := c.Upgrade(); err != nil {
		t.Fatal(err)
	}
	a.Pause()
	time.Sleep(12 * period)
	a.Resume()
	time.Sleep(10 * period)
	if !r.Quiesce(waitTimeout) {
		t.Fatal("queries without an answer")
	}
	posts := maxConcurrent(r, "", took, func(n int) bool { return n%2 == 1 })
	node := maxConcurrent(r, "n0", took, nil)
	if posts > 6 || posts < 4 || node > 3 || node < 2 {
		t.Errorf("%d of 6 posts were open at a time, %d of 3 parts at n0", posts, node)
	}
	for k := range tenantCount {
		times := firstPartTimes(r, func(n int) bool { return n%tenantCount == k })
		if violation := findRateViolation(times, 30, 6); violation != "" {
			t.Errorf("tenant %d: %s", k, violation)
		}
	}
	refused := 0
	for _, e := range r.History.Events() {
		if e.Kind == KindAnswer && e.Status == 503 {
			refused++
		}
	}
	if refused == 0 {
		t.Error("nothing was refused: no limit was ever met")
	}
	for _, f := range Check(r.History.Events(), false) {
		t.Error(f)
	}
	t.Logf("%d of 6 posts, %d of 3 parts at n0 at a time; %d refused", posts, node, refused)
}
