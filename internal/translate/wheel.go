package translate

// A hierarchical timing wheel: adding, removing and expiring an item take constant time, however many items
// it holds. It reads no clock: the caller passes the time in, which only moves forward.

import "lapislever/balance"

const (
	wheelBits   = 6
	wheelSlots  = 1 << wheelBits
	wheelLevels = 5 // with a 10 ms tick they span 124 days
)

// Item is a timer with a value. The zero Item is in no wheel.
type Item[T any] struct {
	Value      T
	due        int64 // in ticks
	prev, next *Item[T]
	level      int8
	slot       uint8
	linked     bool
}

// Wheel holds items until they are due. It is not safe for concurrent use.
type Wheel[T any] struct {
	tick     balance.Micros
	now      int64 // current tick; all items due by then have expired
	count    int
	slots    [wheelLevels][wheelSlots]*Item[T]
	occupied [wheelLevels]uint64 // bitmap of the non-empty slots
}

// NewWheel returns an empty wheel whose time starts at now. Items expire up to one tick late, never early.
func NewWheel[T any](tick, now balance.Micros) *Wheel[T] {
	return &Wheel[T]{tick: tick, now: now / tick}
}

// Len returns the number of items held.
func (w *Wheel[T]) Len() int { return w.count }

// Add schedules an item, or reschedules it if it is in the wheel already.
func (w *Wheel[T]) Add(it *Item[T], due balance.Micros) {
	w.Remove(it)
	it.due = max((due+w.tick-1)/w.tick, w.now+1)
	w.count++
	w.insert(it)
}

// Remove removes an item, if it is in the wheel.
func (w *Wheel[T]) Remove(it *Item[T]) {
	if it.linked {
		w.unlink(it)
		w.count--
	}
}

// insert links an item into the finest level whose range, counted from now, includes the item's due time.
func (w *Wheel[T]) insert(it *Item[T]) {
	level, ahead := 0, it.due-w.now
	for level < wheelLevels-1 && ahead >= 1<<(wheelBits*(level+1)) {
		level++
	}
	at := it.due
	if last := w.now + 1<<(wheelBits*wheelLevels) - 1; at > last {
		at = last // beyond the wheel's range: a cascade inserts it again before it is due
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

// Advance moves the time to now, removes each item that is due and calls expired with it. The callback may
// add and remove items.
func (w *Wheel[T]) Advance(now balance.Micros, expired func(*Item[T])) {
	end := now / w.tick
	for w.now < end {
		if w.count == 0 {
			w.now = end
			return
		}
		// While the finest level is empty, skip to its end: nothing is due before the next cascade.
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

// cascade moves the items of a slot to the finer levels.
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
