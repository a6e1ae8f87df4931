package admission

// A path-compressed trie for longest-prefix matching. A node has two children only where prefixes diverge, so
// that a look-up takes no more steps than there are distinct prefixes on its path.

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// addrBits is an address as 128 bits; an IPv4 address is in the first 32.
type addrBits struct{ hi, lo uint64 }

func toBits(a netip.Addr) addrBits {
	if a.Is4() {
		b := a.As4()
		return addrBits{uint64(binary.BigEndian.Uint32(b[:])) << 32, 0}
	}
	b := a.As16()
	return addrBits{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

func (x addrBits) bit(i int) int {
	if i < 64 {
		return int(x.hi >> (63 - i) & 1)
	}
	return int(x.lo >> (127 - i) & 1)
}

// commonPrefix returns the length of the common prefix of two addresses, at most maxBits.
func (x addrBits) commonPrefix(y addrBits, maxBits int) int {
	n := 128
	if d := x.hi ^ y.hi; d != 0 {
		n = bits.LeadingZeros64(d)
	} else if d := x.lo ^ y.lo; d != 0 {
		n = 64 + bits.LeadingZeros64(d)
	}
	return min(n, maxBits)
}

type trieNode[T any] struct {
	key   addrBits
	size  int
	value *T
	child [2]*trieNode[T]
}

// Trie maps prefixes to values. The zero Trie is empty. It is not safe for concurrent use.
type Trie[T any] struct {
	root  [2]*trieNode[T] // IPv4 and IPv6
	count int
}

// Len returns the number of prefixes.
func (t *Trie[T]) Len() int { return t.count }

func family(a netip.Addr) int {
	if a.Is4() {
		return 0
	}
	return 1
}

// Put sets the value of a prefix, or deletes the prefix if v is nil.
func (t *Trie[T]) Put(p netip.Prefix, v *T) {
	p = p.Masked()
	at, key, size := &t.root[family(p.Addr())], toBits(p.Addr()), p.Bits()
	for {
		n := *at
		if n == nil {
			if v != nil {
				*at = &trieNode[T]{key: key, size: size, value: v}
				t.count++
			}
			return
		}
		same := key.commonPrefix(n.key, min(size, n.size))
		switch {
		case same == n.size && same == size:
			if n.value == nil && v != nil {
				t.count++
			} else if n.value != nil && v == nil {
				t.count--
			}
			n.value = v
			*at = n.collapsed()
			return
		case same == n.size: // below n
			at = &n.child[key.bit(same)]
			if v == nil && *at == nil {
				return
			}
		case v == nil:
			return
		default: // the prefixes diverge, or p is above n
			top := &trieNode[T]{key: key, size: same}
			top.child[n.key.bit(same)] = n
			if same == size {
				top.value = v
			} else {
				top.child[key.bit(same)] = &trieNode[T]{key: key, size: size, value: v}
			}
			*at = top
			t.count++
			return
		}
	}
}

// collapsed returns the node that replaces n, which may have lost its value: n itself if it is still needed,
// otherwise its only child or nil.
func (n *trieNode[T]) collapsed() *trieNode[T] {
	switch {
	case n.value != nil || n.child[0] != nil && n.child[1] != nil:
		return n
	case n.child[0] != nil:
		return n.child[0]
	}
	return n.child[1]
}

// Find returns the value of the longest prefix that contains an address, or nil.
func (t *Trie[T]) Find(a netip.Addr) (found *T) {
	a = a.Unmap()
	key, bitLen := toBits(a), a.BitLen()
	for n := t.root[family(a)]; n != nil && key.commonPrefix(n.key, n.size) == n.size; {
		if n.value != nil {
			found = n.value
		}
		if n.size >= bitLen {
			break
		}
		n = n.child[key.bit(n.size)]
	}
	return found
}

// Each calls f with the value of every prefix.
func (t *Trie[T]) Each(f func(*T)) {
	var walk func(*trieNode[T])
	walk = func(n *trieNode[T]) {
		if n == nil {
			return
		}
		if n.value != nil {
			f(n.value)
		}
		walk(n.child[0])
		walk(n.child[1])
	}
	walk(t.root[0])
	walk(t.root[1])
}
