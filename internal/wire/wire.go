// Package wire decodes and encodes the frames of the simulator's protocol and converts its settings to the
// module's own types. It makes no decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"lapislever/balance"
)

// Codes of the events in a batch.
const (
	evProbeDone  = 256
	evRing       = 257
	evTargets    = 258
	evKilled     = 259
	evInstance   = 260
	evSettled    = 261
	evClientGone = 262
	evDefineList = 263
	evAccept     = 264
	evNeighbour  = 265
	evBegun      = 266
	evSpawn      = 267
)

// Codes of the actions in a reply.
const (
	acForward  = 256
	acNotNow   = 257
	acFail     = 258
	acDrop     = 259
	acSchedule = 260
	acProbe    = 261
	acClose    = 262
	acTell     = 263
	acNote     = 264
	acTail     = 266
	acReadList = 267
	acSettle   = 268
	acFrom     = 269
)

const (
	headerLen   = 20
	entryLen    = 24
	maxFrame    = 1 << 30
	maxNoteText = 240
	maxTellText = 256
)

// Handler receives the records of a batch in order.
type Handler interface {
	Spawn(instance uint32, seed uint64, params string) error
	Killed(instance uint32)
	Event(instance uint32, ev balance.Event) error
}

// FrameError reports where a frame is malformed.
type FrameError struct {
	Frame, Byte int
	What        string
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("frame %d, byte %d: %s", e.Frame, e.Byte, e.What)
}

// Batch is the header of a frame.
type Batch struct {
	Now balance.Micros
	Seq uint32
}

// Decoder reads batches from a stream.
type Decoder struct {
	r       io.Reader
	buf     []byte
	frame   int
	lists   [16][]balance.Replica
	defined [16]bool
}

// NewDecoder returns a decoder that reads batches from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads one batch and passes its header to begin and then its records to h. It returns io.EOF if the
// stream ends between frames.
func (d *Decoder) Next(begin func(Batch), h Handler) error {
	var head [8]byte
	d.frame++
	n, err := io.ReadFull(d.r, head[:])
	if n == 0 && errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return d.fail(n, "the frame ends inside its header")
	}
	count := binary.LittleEndian.Uint32(head[:])
	size := binary.LittleEndian.Uint32(head[4:])
	if size < headerLen-8 || size > maxFrame {
		return d.fail(4, fmt.Sprintf("a length of %d is not possible", size))
	}
	if cap(d.buf) < int(size) {
		// Grow with the data that arrives, so that a wrong length cannot allocate a gigabyte at once.
		d.buf = make([]byte, 0, min(int(size), 1<<20))
	}
	if d.buf, err = readN(d.r, d.buf[:0], int(size)); err != nil {
		return d.fail(8+len(d.buf), "the frame ends before its stated length")
	}
	c := cursor{b: d.buf}
	begin(Batch{Now: int64(c.u64()), Seq: c.u32()})
	var inst uint32
	for i := uint32(0); i < count; i++ {
		at := c.at
		if inst, err = d.decodeRecord(&c, inst, h); err != nil {
			return err
		}
		if c.truncated {
			return d.fail(8+at, "the record is cut short")
		}
	}
	if c.at != len(c.b) {
		return d.fail(8+c.at, "bytes follow the last record")
	}
	return nil
}

func readN(r io.Reader, buf []byte, size int) ([]byte, error) {
	for len(buf) < size {
		step := min(size-len(buf), 1<<20)
		old := len(buf)
		if cap(buf) < old+step {
			buf = append(buf, make([]byte, step)...)
		} else {
			buf = buf[:old+step]
		}
		if n, err := io.ReadFull(r, buf[old:]); err != nil {
			return buf[:old+n], err
		}
	}
	return buf, nil
}

func (d *Decoder) fail(at int, what string) error {
	return &FrameError{Frame: d.frame, Byte: at, What: what}
}

// decodeRecord decodes one record and returns the instance that the next record belongs to.
func (d *Decoder) decodeRecord(c *cursor, inst uint32, h Handler) (uint32, error) {
	at := 8 + c.at
	code := c.u16()
	ev := balance.Event{}
	switch code {
	case evInstance:
		return c.u32(), nil
	case evSpawn:
		seed := c.u64()
		params := string(c.bytes(int(c.u32())))
		if c.truncated {
			return inst, nil
		}
		if err := h.Spawn(inst, seed, params); err != nil {
			return inst, fmt.Errorf("frame %d, byte %d: %w", d.frame, at, err)
		}
		return inst, nil
	case evKilled:
		h.Killed(inst)
		return inst, nil
	case evDefineList:
		return inst, d.defineList(c, at)
	case evTargets:
		ev.Kind = balance.List
		mode := c.u8()
		c.u64()
		id := c.u8()
		if c.truncated {
			return inst, nil
		}
		if mode > 3 {
			return inst, d.fail(at, fmt.Sprintf("list mode %d is not known", mode))
		}
		ev.Mode = balance.ListMode(mode)
		if ev.Mode != balance.Failed {
			if id > 15 || !d.defined[id] {
				return inst, d.fail(at, fmt.Sprintf("list %d was never given", id))
			}
			ev.Replicas = d.lists[id]
		}
	case evRing:
		ev.Kind = balance.WakeUp
		c.u64()
	case evProbeDone:
		ev.Kind = balance.ProbeResult
		ev.Replica = c.replica()
		ev.Outcome = balance.Outcome(c.u16())
		ev.Elapsed = int64(c.u32())
		ev.Report = c.report()
	case evSettled:
		ev.Kind = balance.Result
		ev.ID = c.u32()
		ev.Attempt = int(c.u8())
		ev.Closed = c.u8() != 0
		ev.Elapsed = int64(c.u32())
		ev.Outcome = balance.Outcome(c.u16())
		ev.Replica = c.replica()
		ev.Report = c.report()
	case evClientGone:
		ev.Kind = balance.ClientGone
		ev.ID = c.u32()
	case evAccept:
		ev.Kind = balance.Part
		ev.ID = c.u32()
		ev.Key = c.u64()
		segment := c.f32()
		ev.Hint = int64(c.u32())
		ev.Weight = float64(c.f32())
		ev.Number = c.f32()
		flags := c.u8()
		ev.Repeat = flags&2 != 0
		ev.Class = int(c.u8())
		ev.Tenant = int(c.u16())
		ev.Deadline = int64(c.u64())
		ev.Shard = int(segment)
		if segment < 0 {
			ev.Kind = balance.Query
		}
		if flags&1 == 0 {
			ev.Hint = 0
		}
	case evNeighbour:
		ev.Kind = balance.Message
		ev.From = c.u32()
		ev.Data = append([]byte(nil), c.bytes(int(c.u16()))...)
	case evBegun:
		ev.Kind = balance.StreamStarted
		ev.ID = c.u32()
		ev.Attempt = int(c.u8())
		ev.Replica = c.replica()
		ev.Elapsed = int64(c.u32())
	default:
		if c.truncated {
			return inst, nil
		}
		return inst, d.fail(at, fmt.Sprintf("event code %d is not known", code))
	}
	if c.truncated {
		return inst, nil
	}
	if err := h.Event(inst, ev); err != nil {
		return inst, fmt.Errorf("frame %d, byte %d: %w", d.frame, at, err)
	}
	return inst, nil
}

func (d *Decoder) defineList(c *cursor, at int) error {
	id := c.u8()
	n := int(c.u32())
	if c.truncated {
		return nil
	}
	if id > 15 {
		return d.fail(at, fmt.Sprintf("list number %d is over 15", id))
	}
	if n > (len(c.b)-c.at)/entryLen {
		return d.fail(at, fmt.Sprintf("a list of %d lines is longer than its frame", n))
	}
	// A new slice, as a list may be redefined while its earlier version is still in use in the same batch.
	list := make([]balance.Replica, n)
	for i := range list {
		list[i].ID = c.replica()
		list[i].Zone = int(c.u16())
		c.u8()
		list[i].Cell = int(c.u16())
		list[i].State = balance.State(c.u8())
		list[i].Size = float64(c.f32())
		list[i].Started = int64(c.u64())
	}
	d.lists[id], d.defined[id] = list, true
	return nil
}

// cursor reads little-endian fields; truncated is set once a read would go past the end.
type cursor struct {
	b         []byte
	at        int
	truncated bool
}

func (c *cursor) bytes(n int) []byte {
	if c.truncated || n < 0 || n > len(c.b)-c.at {
		c.truncated = true
		return nil
	}
	c.at += n
	return c.b[c.at-n : c.at]
}

func (c *cursor) uint(n int) uint64 {
	var v uint64
	for i, x := range c.bytes(n) {
		v |= uint64(x) << (8 * i)
	}
	return v
}

func (c *cursor) u8() byte                   { return byte(c.uint(1)) }
func (c *cursor) u16() uint16                { return uint16(c.uint(2)) }
func (c *cursor) u32() uint32                { return uint32(c.uint(4)) }
func (c *cursor) u64() uint64                { return c.uint(8) }
func (c *cursor) f32() float32               { return math.Float32frombits(c.u32()) }
func (c *cursor) replica() balance.ReplicaID { return balance.ReplicaID(c.uint(6)) }

func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 || c.truncated {
		return nil
	}
	out := make([]float32, 0, n)
	for i := 0; i < n; i++ {
		out = append(out, c.f32())
	}
	return out
}

// Reply builds a reply frame.
type Reply struct{ b []byte }

// Begin resets the reply and sets the number of the batch that it replies to.
func (r *Reply) Begin(seq uint32) {
	r.b = binary.LittleEndian.AppendUint32(r.b[:0], 0)
	r.b = binary.LittleEndian.AppendUint32(r.b, seq)
}

// SetInstance sets the instance that the following actions belong to.
func (r *Reply) SetInstance(instance uint32) {
	r.code(acFrom)
	r.u32(instance)
}

// Bytes completes the frame and returns it.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.b, uint32(len(r.b)-4))
	return r.b
}

func (r *Reply) code(c uint16) { r.b = binary.LittleEndian.AppendUint16(r.b, c) }
func (r *Reply) u32(v uint32)  { r.b = binary.LittleEndian.AppendUint32(r.b, v) }

func (r *Reply) text(s string, maxLen int) {
	s = s[:min(len(s), maxLen)]
	r.b = binary.LittleEndian.AppendUint16(r.b, uint16(len(s)))
	r.b = append(r.b, s...)
}

func (r *Reply) replica(id balance.ReplicaID) {
	for i := 0; i < 6; i++ {
		r.b = append(r.b, byte(id>>(8*i)))
	}
}

// Action appends an action of the current instance.
func (r *Reply) Action(a balance.Action) {
	switch a.Kind {
	case balance.Send:
		r.code(acForward)
		r.u32(a.ID)
		r.replica(a.Replica)
		r.u32(clampU32(a.After))
	case balance.Cancel:
		r.code(acDrop)
		r.u32(a.ID)
		r.b = append(r.b, byte(a.Attempt))
	case balance.Answer:
		r.code(acSettle)
		r.u32(a.ID)
		r.b = append(r.b, boolByte(a.Complete))
	case balance.Refuse:
		r.code(acNotNow)
		r.u32(a.ID)
		r.u32(clampU32(a.After))
	case balance.Fail:
		r.code(acFail)
		r.u32(a.ID)
	case balance.Probe:
		r.code(acProbe)
		r.replica(a.Replica)
	case balance.Wake:
		r.code(acSchedule)
		r.u32(clampU32(a.After))
		r.b = binary.LittleEndian.AppendUint64(r.b, 0)
	case balance.Watch:
		r.code(acTail)
		r.b = append(r.b, 1)
	case balance.Fetch:
		r.code(acReadList)
	case balance.Note:
		r.code(acNote)
		r.text(a.Text, maxNoteText)
	case balance.Tell:
		r.code(acTell)
		r.u32(a.To)
		r.text(a.Text, maxTellText)
	case balance.Close:
		r.code(acClose)
		r.replica(a.Replica)
	case balance.Unwatch:
		r.code(acTail)
		r.b = append(r.b, 0)
	}
}

func clampU32(v int64) uint32 { return uint32(max(0, min(v, math.MaxUint32))) }

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
