package translate

// A hierarchical timing wheel: what is due at a time is put in, taken out again or expires, each at a cost
// that does not grow with how much it holds. It reads no clock: time is passed in and only moves forward.

import "lapislever/balance"

const (
	wheelBits   = 6
	wheelSlots  = 1 << wheelBits
	wheelLevels = 5 // with a tick of 10 ms they reach 124 days
)

// Item is a place in a wheel. The zero Item is in none.
type Item[T any] struct {
	Value      T
	due        int64 // tick
	prev, next *Item[T]
	level      int8
	slot       uint8
	linked     bool
}

// Wheel holds items until they are due. It is not safe for concurrent use.
type Wheel[T any] struct {
	tick     balance.Micros
	now      int64 // tick up to which all has expired
	count    int
	slots    [wheelLevels][wheelSlots]*Item[T]
	occupied [wheelLevels]uint64 // which slots hold something
}

// NewWheel returns a wheel that starts at a time. Items expire up to one tick late, never early.
func NewWheel[T any](tick, now balance.Micros) *Wheel[T] {
	return &Wheel[T]{tick: tick, now: now / tick}
}

// Len is how many items are held.
func (w *Wheel[T]) Len() int { return w.count }

// Add puts an item in, or moves it if it is in already.
func (w *Wheel[T]) Add(it *Item[T], due balance.Micros) {
	w.Remove(it)
	it.due = max((due+w.tick-1)/w.tick, w.now+1)
	w.count++
	w.insert(it)
}

// Remove takes an item out, if it is in.
func (w *Wheel[T]) Remove(it *Item[T]) {
	if it.linked {
		w.unlink(it)
		w.count--
	}
}

// insert links an item where it belongs as of now: on the level whose slots are the finest that reach its
// time.
func (w *Wheel[T]) insert(it *Item[T]) {
	level, ahead := 0, it.due-w.now
	for level < wheelLevels-1 && ahead >= 1<<(wheelBits*(level+1)) {
		level++
	}
	at := it.due
	if most := w.now + 1<<(wheelBits*wheelLevels) - 1; at > most {
		at = most // beyond the reach: it is looked at again before its time, and placed anew
	}
	slot := uint8(at >> (wheelBits * level) & (wheelSlots - 1))
	it.level, it.slot, it.linked = int8(level), slot, true
	it.prev, it.next = nil, w.slots[level][slot]
	if it.next != nil {
		it.next.prev = it
	}
	w.slots[level][slot] = it
	w.occupied[level] |= 1 << slot
}

func (w *Wheel[T]) unlink(it *Item[T]) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		w.slots[it.level][it.slot] = it.next
		if it.next == nil {
			w.occupied[it.level] &^= 1 << it.slot
		}
	}
	if it.next != nil {
		it.next.prev = it.prev
	}
	it.prev, it.next, it.linked = nil, nil, false
}

// Advance moves to a time and hands over each item that is due. What it calls may add and remove items.
func (w *Wheel[T]) Advance(now balance.Micros, expired func(*Item[T])) {
	end := now / w.tick
	for w.now < end {
		if w.count == 0 {
			w.now = end
			return
		}
		// Nothing is due before the next slot of the lowest level that holds something, or its end.
		step := int64(1)
		if w.occupied[0] == 0 {
			step = wheelSlots - w.now&(wheelSlots-1)
		}
		w.now += min(step, end-w.now)
		for level := 1; level < wheelLevels && w.now&(1<<(wheelBits*level)-1) == 0; level++ {
			w.cascade(level, uint8(w.now>>(wheelBits*level)&(wheelSlots-1)))
		}
		slot := uint8(w.now & (wheelSlots - 1))
		for it := w.slots[0][slot]; it != nil; it = w.slots[0][slot] {
			w.unlink(it)
			w.count--
			expired(it)
		}
	}
}

// cascade spreads a slot of a level over the finer ones.
func (w *Wheel[T]) cascade(level int, slot uint8) {
	it := w.slots[level][slot]
	w.slots[level][slot] = nil
	w.occupied[level] &^= 1 << slot
	for it != nil {
		next := it.next
		it.prev, it.next = nil, nil
		w.insert(it)
		it = next
	}
}
