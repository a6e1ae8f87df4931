package verdict

import "strings"

// ListedNode is a data node from discovery, as far as LimitEjections needs it.
type ListedNode struct {
	ID   uint64
	Cell int
	Up   bool // gets requests unless it is ejected as sick
}

// LimitEjections chooses which of the sick nodes a member ejects. Nodes that were found sick first come
// first. It never ejects more than a share of all nodes (or one node, if that is more), and never the last
// node that is up in a shard's cells. Shard s is held by the cells (s+j) mod cells, j < reach. The result
// depends only on the arguments, so members with the same verdicts and the same list eject the same nodes.
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
	maxOut := max(1, int(share*float64(len(nodes))))
	for _, id := range sick {
		c, ok := cellOf[id]
		if !ok || out[id] || len(out) >= maxOut || share <= 0 {
			continue
		}
		if up[c]--; !shardsServed(up, c, min(reach, cells)) {
			up[c]++
			continue
		}
		out[id] = true
	}
	return out
}

// shardsServed reports whether every shard in a cell has a node that is up.
func shardsServed(up []int, cell, reach int) bool {
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

// SickVerdict returns the verdict for an outlier, and whether it may be issued. It may not while an earlier
// one is in force, on evidence from before that ended, or for some time after an operator has withdrawn one.
// The span of the verdict doubles, up to a maximum, each time the node becomes sick again soon. name is the
// node's name.
func (t *Table) SickVerdict(now, period Micros, name string, o Outlier) (v Verdict, ok bool) {
	v = Verdict{Kind: SickNode, What: name, On: true, By: "evidence", Reason: o.Reason, Span: sickSpan * period}
	if o.Zone != "" {
		v.Kind, v.What = SickPath, name+"@"+o.Zone
	}
	i, known := t.find(&v)
	if !known {
		return v, true
	}
	e := t.entries[i]
	age := now - e.issuedAt
	switch {
	case e.inForce(age), !e.On && age < withdrawalWindows*Window*period:
		return v, false
	case e.On && Micros(o.FirstBadAge+1)*period > age-e.Span: // based on the evidence of the previous verdict
		return v, false
	case e.On && age < (1+relapseSpans)*e.Span:
		v.Span = min(2*e.Span, maxSickMultiple*sickSpan*period)
	}
	return v, true
}

// CountSick returns the number of nodes that are sick for members of a zone. Nodes that are sick only for
// other zones do not count. An empty zone counts the nodes of all zones.
func (t *Table) CountSick(now Micros, zone string) (n int) {
	for _, e := range t.entries {
		_, nodeZone := e.Node()
		if (e.Kind == SickNode || e.Kind == SickPath && (zone == "" || nodeZone == zone)) &&
			e.inForce(now-e.issuedAt) {
			n++
		}
	}
	return n
}

// Node returns the data node that a verdict is on, and the zone to whose members it applies; empty: to all.
func (v *Verdict) Node() (name, zone string) {
	if i := strings.LastIndexByte(v.What, '@'); v.Kind == SickPath && i >= 0 {
		return v.What[:i], v.What[i+1:]
	}
	return v.What, ""
}

// SickVerdicts returns the verdicts by evidence that are in force for a node.
func (t *Table) SickVerdicts(now Micros, name string) (out []Verdict) {
	for _, e := range t.entries {
		if n, _ := e.Node(); (e.Kind == SickNode || e.Kind == SickPath) && n == name && e.inForce(now-e.issuedAt) {
			out = append(out, e.Verdict)
		}
	}
	return out
}
