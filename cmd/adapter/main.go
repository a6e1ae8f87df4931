// Command adapter hosts instances of the decision module on the bench's wire: batches on standard input,
// one reply for each on standard output. It ends when its input ends.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"lapislever/balance"
	"lapislever/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// hosted is one running instance and the events that this batch brought it.
type hosted struct {
	b      *balance.Balancer
	events []balance.Event
	listed bool // already among the batch's instances
}

type host struct {
	instances map[uint32]*hosted
	order     []uint32 // instances with an event in this batch, in order of their first
}

func (h *host) touch(id uint32, in *hosted) {
	if !in.listed {
		in.listed = true
		h.order = append(h.order, id)
	}
}

func (h *host) Spawn(id uint32, seed uint64, params string) error {
	settings, err := wire.ParseSettings(params)
	if err != nil {
		return err
	}
	b, err := balance.New(settings, seed)
	if err != nil {
		return err
	}
	in := h.instances[id]
	if in == nil {
		in = &hosted{}
		h.instances[id] = in
	}
	in.b, in.events = b, in.events[:0]
	h.touch(id, in)
	return nil
}

func (h *host) Killed(id uint32) {
	if in := h.instances[id]; in != nil {
		in.b, in.events = nil, in.events[:0]
	}
}

func (h *host) Event(id uint32, ev balance.Event) error {
	in := h.instances[id]
	if in == nil || in.b == nil {
		return nil // nothing runs there: the event concerns nobody
	}
	in.events = append(in.events, ev)
	h.touch(id, in)
	return nil
}

func run(r io.Reader, w io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	out := bufio.NewWriterSize(w, 1<<16)
	h := &host{instances: map[uint32]*hosted{}}
	var reply wire.Reply
	var actions []balance.Action
	for {
		var batch wire.Batch
		err := dec.Next(func(b wire.Batch) { batch = b }, h)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Begin(batch.Seq)
		for _, id := range h.order {
			in := h.instances[id]
			in.listed = false
			if in.b == nil {
				continue
			}
			actions = in.b.Step(batch.Now, in.events, actions[:0])
			in.events = in.events[:0]
			if len(actions) > 0 {
				reply.SetInstance(id)
			}
			for _, a := range actions {
				reply.Action(a)
			}
		}
		h.order = h.order[:0]
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}
