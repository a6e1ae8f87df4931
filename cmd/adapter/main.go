// Command adapter runs instances of the decision module for the bench's wire protocol: it reads batches
// from standard input and writes one reply for each to standard output. It exits when its input ends.
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

// instance is a running instance and its events in the current batch.
type instance struct {
	balancer *balance.Balancer
	events   []balance.Event
	queued   bool // already in host.active
}

type host struct {
	instances map[uint32]*instance
	active    []uint32 // instances with an event in this batch, in the order of their first one
}

func (h *host) markActive(id uint32, in *instance) {
	if !in.queued {
		in.queued = true
		h.active = append(h.active, id)
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
		in = &instance{}
		h.instances[id] = in
	}
	in.balancer, in.events = b, in.events[:0]
	h.markActive(id, in)
	return nil
}

func (h *host) Killed(id uint32) {
	if in := h.instances[id]; in != nil {
		in.balancer, in.events = nil, in.events[:0]
	}
}

func (h *host) Event(id uint32, ev balance.Event) error {
	in := h.instances[id]
	if in == nil || in.balancer == nil {
		return nil // no instance is running, so nobody receives the event
	}
	in.events = append(in.events, ev)
	h.markActive(id, in)
	return nil
}

func run(r io.Reader, w io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	out := bufio.NewWriterSize(w, 1<<16)
	h := &host{instances: map[uint32]*instance{}}
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
		for _, id := range h.active {
			in := h.instances[id]
			in.queued = false
			if in.balancer == nil {
				continue
			}
			actions = in.balancer.Step(batch.Now, in.events, actions[:0])
			in.events = in.events[:0]
			if len(actions) > 0 {
				reply.SetInstance(id)
			}
			for _, a := range actions {
				reply.Action(a)
			}
		}
		h.active = h.active[:0]
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}
