package verdict

import "strings"

// ListedNode is a data node as the guard sees it.
type ListedNode struct {
	ID   uint64
	Cell int
	Up   bool // gets work, but for judgements
}

// LimitEjections chooses which of the nodes that are judged sick are out at a member: the first to be judged first,
// never more than a share of all (but one, in any case), and never the last node that is up of a shard's
// cells. A shard s is held by the cells (s+j) mod cells, j < reach. It depends on nothing but its arguments,
// so members that hold the same and see the same list choose the same.
func LimitEjections(nodes []ListedNode, sick []uint64, cells, reach int, share float64) map[uint64]bool {
	out := map[uint64]bool{}
	cells, reach = max(1, cells), max(1, reach)
	up := make([]int, cells)
	cellOf := map[uint64]int{}
	for _, n := range nodes {
		if c := n.Cell % cells; n.Up && n.Cell >= 0 {
			up[c]++
			cellOf[n.ID] = c
		}
	}
	most := max(1, int(share*float64(len(nodes))))
	for _, id := range sick {
		c, ok := cellOf[id]
		if !ok || out[id] || len(out) >= most || share <= 0 {
			continue
		}
		if up[c]--; !served(up, c, min(reach, cells)) {
			up[c]++
			continue
		}
		out[id] = true
	}
	return out
}

// served tells that every shard that a cell holds has a node that is up.
func served(up []int, cell, reach int) bool {
	for first := cell - reach + 1; first <= cell; first++ {
		n := 0
		for j := range reach {
			n += up[((first+j)%len(up)+len(up))%len(up)]
		}
		if n == 0 {
			return false
		}
	}
	return true
}

// SickVerdict is the verdict that a judgement is, and whether it may be given: not while one holds, not on what
// was seen before it ended, nor for a while after an operator has said otherwise. One that comes back sick is
// out for longer each time. name is the node's.
func (t *Table) SickVerdict(now, period Micros, name string, j Outlier) (v Verdict, ok bool) {
	v = Verdict{Kind: SickNode, What: name, On: true, By: "evidence", Reason: j.Reason, Span: sickSpan * period}
	if j.Zone != "" {
		v.Kind, v.What = SickPath, name+"@"+j.Zone
	}
	i, known := t.find(&v)
	if !known {
		return v, true
	}
	e := t.entries[i]
	age := now - e.born
	switch {
	case e.holds(age), !e.On && age < pardon*Window*period:
		return v, false
	case e.On && Micros(j.Since+1)*period > age-e.Span: // it stands on what the one before stood on
		return v, false
	case e.On && age < (1+relapse)*e.Span:
		v.Span = min(2*e.Span, sickMost*sickSpan*period)
	}
	return v, true
}

// CountSick counts the nodes that are held to be sick at members of a zone; those judged for others do not count.
func (t *Table) CountSick(now Micros, zone string) (n int) {
	for _, e := range t.entries {
		_, z := e.Node()
		if (e.Kind == SickNode || e.Kind == SickPath && (zone == "" || z == zone)) && e.holds(now-e.born) {
			n++
		}
	}
	return n
}

// Node is the data node that a verdict is on, and the zone for whose members it holds; empty: for all.
func (v *Verdict) Node() (name, zone string) {
	if i := strings.LastIndexByte(v.What, '@'); v.Kind == SickPath && i >= 0 {
		return v.What[:i], v.What[i+1:]
	}
	return v.What, ""
}

// SickVerdicts are the verdicts by evidence that hold for a node.
func (t *Table) SickVerdicts(now Micros, name string) (out []Verdict) {
	for _, e := range t.entries {
		if n, _ := e.Node(); (e.Kind == SickNode || e.Kind == SickPath) && n == name && e.holds(now-e.born) {
			out = append(out, e.Verdict)
		}
	}
	return out
}
