package grpcnode

// The reader of a connection to a node: frames, answers, and what the node says of itself.

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lapislever/balance"
	"lapislever/internal/core"
	"lapislever/internal/translate"
)

// errProtocol marks what breaks the protocol and the Framer does not see.
var errProtocol = errors.New("protocol")

// read is the reader.
func (c *conn) read(sock net.Conn) {
	fr := http2.NewFramer(nil, bufio.NewReaderSize(sock, 4<<10))
	fr.SetMaxReadFrameSize(inFrame)
	fr.SetReuseFrames()
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	fr.MaxHeaderListSize = headMost
	first := true
	for {
		f, err := fr.ReadFrame()
		var bad http2.StreamError
		if errors.As(err, &bad) {
			c.mu.Lock()
			s := c.streams[bad.StreamID]
			c.mu.Unlock()
			if s != nil {
				c.finish(s, translate.Result{Outcome: balance.Error, Reason: translate.UnreadableReply}, core.Value{}, nil,
					http2.ErrCodeProtocol)
			}
			continue
		}
		if err == nil && first {
			if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
				err = fmt.Errorf("%w: the first frame is %v", errProtocol, f.Header().Type)
			}
			first = false
		}
		if err == nil {
			c.mu.Lock()
			c.heard = time.Now()
			c.mu.Unlock()
			err = c.take(f)
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// take takes one frame in.
func (c *conn) take(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.SettingsFrame:
		return c.settings(f)
	case *http2.PingFrame:
		return c.pinged(f)
	case *http2.WindowUpdateFrame:
		c.mu.Lock()
		defer c.mu.Unlock()
		window := &c.window
		if f.StreamID != 0 {
			s := c.streams[f.StreamID]
			if s == nil {
				return nil // it has ended
			}
			window = &s.window
		}
		if *window += int64(f.Increment); *window > windowMost {
			return fmt.Errorf("%w: a window that is too large", errProtocol)
		}
		c.poke()
	case *http2.MetaHeadersFrame:
		return c.headers(f)
	case *http2.DataFrame:
		return c.data(f)
	case *http2.RSTStreamFrame:
		c.mu.Lock()
		s := c.streams[f.StreamID]
		c.mu.Unlock()
		if s == nil {
			return nil
		}
		r := translate.Result{Outcome: balance.Reset, Reason: translate.Unreachable}
		if f.ErrCode == http2.ErrCodeRefusedStream {
			r = translate.Result{Outcome: balance.Busy, Reason: translate.Rejected}
		}
		c.finish(s, r, core.Value{}, nil, http2.ErrCodeNo)
	case *http2.GoAwayFrame:
		c.goAway(f)
	case *http2.PushPromiseFrame:
		return fmt.Errorf("%w: a push that was not allowed", errProtocol)
	}
	return nil
}

func (c *conn) settings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.HasDuplicates() {
		return fmt.Errorf("%w: a setting twice", errProtocol)
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingMaxConcurrentStreams:
			c.streamsM = s.Val
		case http2.SettingMaxFrameSize:
			c.frame = min(s.Val, outHigh)
		case http2.SettingHeaderTableSize:
			c.enc.SetMaxDynamicTableSizeLimit(min(s.Val, 4096))
		case http2.SettingInitialWindowSize:
			by := int64(s.Val) - c.initial
			c.initial = int64(s.Val)
			for _, x := range c.streams {
				if x.window += by; x.window > windowMost {
					return fmt.Errorf("%w: a window that is too large", errProtocol)
				}
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.settled = true
	if err := c.fr.WriteSettingsAck(); err != nil {
		return err
	}
	c.poke()
	return nil
}

func (c *conn) pinged(f *http2.PingFrame) error {
	c.mu.Lock()
	if !f.IsAck() {
		defer c.mu.Unlock()
		if err := c.fr.WritePing(true, f.Data); err != nil {
			return errors.New("the node does not read")
		}
		c.poke()
		return nil
	}
	n := uint64(0)
	for i, x := range f.Data {
		n |= uint64(x) << (8 * i)
	}
	p := c.pings[n]
	delete(c.pings, n)
	c.mu.Unlock()
	if p != nil && p.probe {
		c.b.probed(c.n, balance.OK, time.Since(p.at))
	}
	return nil
}

// goAway ends what the server has left out; what it covers goes on to its end.
func (c *conn) goAway(f *http2.GoAwayFrame) {
	c.mu.Lock()
	c.retired = true
	var out []*stream
	for id, s := range c.streams {
		if id > f.LastStreamID {
			out = append(out, s)
		}
	}
	out = append(out, c.waiting...)
	for _, s := range out {
		c.forget(s)
	}
	c.mu.Unlock()
	c.poke()
	c.b.log.Info("a node goes away", "node", c.n.name, "code", f.ErrCode, "left_out", len(out))
	for _, s := range out {
		c.b.done(c.n, s.a, translate.Result{Outcome: balance.NotSent, Reason: translate.Rejected}, core.Value{}, nil)
	}
}

// finish ends a call with its result. Where the server has not ended the stream itself it is reset.
func (c *conn) finish(s *stream, r translate.Result, v core.Value, report []float32, code http2.ErrCode) {
	c.mu.Lock()
	if c.dead || c.streams[s.id] != s {
		c.mu.Unlock()
		return
	}
	if !s.ended && r.Outcome != balance.OK {
		r.Outcome = balance.NotSent // its last byte was not written, and now never will be
	}
	if code != http2.ErrCodeNo || !s.ended {
		c.reset(s, code)
	}
	c.forget(s)
	c.used = time.Now()
	c.mu.Unlock()
	c.b.done(c.n, s.a, r, v, report)
}

// stream returns the open stream of a frame; the others have ended, and what still comes for them is passed
// over.
func (c *conn) stream(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *conn) headers(f *http2.MetaHeadersFrame) error {
	s := c.stream(f.StreamID)
	if s == nil {
		if f.StreamID%2 == 0 {
			return fmt.Errorf("%w: a stream of the server's own", errProtocol)
		}
		return nil
	}
	bad := func(code http2.ErrCode) error {
		c.finish(s, translate.Result{Outcome: balance.Error, Reason: translate.UnreadableReply}, core.Value{}, nil, code)
		return nil
	}
	if f.Truncated {
		return bad(http2.ErrCodeProtocol)
	}
	if !s.begun {
		status, err := strconv.Atoi(f.PseudoValue("status"))
		if err != nil {
			return bad(http2.ErrCodeProtocol)
		}
		if status >= 100 && status < 200 {
			return nil
		}
		s.begun, s.status = true, status
	} else if !f.StreamEnded() {
		return bad(http2.ErrCodeProtocol) // metadata in the middle
	}
	kind, code, unseen, coding := "", "", false, ""
	for _, h := range f.RegularFields() {
		switch h.Name {
		case "content-type":
			kind = h.Value
		case "grpc-status":
			code = h.Value
		case "lapislever-unseen":
			unseen = h.Value == "1"
		case "grpc-encoding":
			coding = h.Value
		}
	}
	if !f.StreamEnded() {
		if s.status != 200 || !strings.HasPrefix(kind, "application/grpc") {
			c.finish(s, translate.FromHTTP(s.status), core.Value{}, nil, http2.ErrCodeCancel)
		} else if coding != "" && coding != "identity" {
			c.finish(s, translate.Result{Outcome: balance.Error, Reason: translate.Compressed}, core.Value{}, nil,
				http2.ErrCodeCancel)
		}
		return nil
	}
	if code == "" && s.status != 200 {
		c.finish(s, translate.FromHTTP(s.status), core.Value{}, nil, http2.ErrCodeNo)
		return nil
	}
	status, known := translate.ParseStatus(code)
	if !known {
		c.finish(s, translate.Result{Outcome: balance.Error, Reason: translate.UnknownStatus}, core.Value{}, nil,
			http2.ErrCodeNo)
		return nil
	}
	r, v, report := translate.FromStatus(status, unseen), core.Value{}, []float32(nil)
	if status == translate.OK {
		r, v, report = c.b.value(s)
	}
	c.finish(s, r, v, report, http2.ErrCodeNo)
	return nil
}

func (c *conn) data(f *http2.DataFrame) error {
	size := int(f.Length)
	c.mu.Lock()
	if c.credit += size; c.credit >= creditAt {
		if c.fr.WriteWindowUpdate(0, uint32(c.credit)) != nil {
			c.mu.Unlock()
			return errors.New("the node does not read")
		}
		c.credit = 0
		c.poke()
	}
	s := c.streams[f.StreamID]
	c.mu.Unlock()
	if s == nil {
		return nil
	}
	end := func(why translate.Reason, code http2.ErrCode) error {
		c.finish(s, translate.Result{Outcome: balance.Error, Reason: why}, core.Value{}, nil, code)
		return nil
	}
	if !s.begun {
		return end(translate.UnreadableReply, http2.ErrCodeProtocol)
	}
	if len(s.reply)+len(f.Data()) > c.b.replyMost() {
		return end(translate.TooLarge, http2.ErrCodeCancel)
	}
	s.reply = append(s.reply, f.Data()...) // one goroutine reads, and only it looks at the reply
	if f.StreamEnded() {                   // without trailers there is no status
		return end(translate.UnknownStatus, http2.ErrCodeNo)
	}
	return nil
}
