package grpcnode

// The read loop of a connection to a node: incoming frames, answers, and connection-level messages.

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

// errProtocol marks protocol violations that the Framer does not detect.
var errProtocol = errors.New("protocol violation")

// readLoop reads frames until the connection ends.
func (c *conn) readLoop(sock net.Conn) {
	framer := http2.NewFramer(nil, bufio.NewReaderSize(sock, 4<<10))
	framer.SetMaxReadFrameSize(maxReadFrame)
	framer.SetReuseFrames()
	framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	framer.MaxHeaderListSize = maxHeaderList
	first := true
	for {
		f, err := framer.ReadFrame()
		var streamErr http2.StreamError
		if errors.As(err, &streamErr) {
			c.mu.Lock()
			s := c.streams[streamErr.StreamID]
			c.mu.Unlock()
			if s != nil {
				c.finishStream(s, translate.Result{Outcome: balance.Error, Reason: translate.UnreadableReply},
					core.Value{}, nil, http2.ErrCodeProtocol)
			}
			continue
		}
		if err == nil && first {
			if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
				err = fmt.Errorf("%w: the first frame is of type %v", errProtocol, f.Header().Type)
			}
			first = false
		}
		if err == nil {
			c.mu.Lock()
			c.lastReceived = time.Now()
			c.mu.Unlock()
			err = c.handleFrame(f)
		}
		if err != nil {
			c.close(err)
			return
		}
	}
}

// handleFrame handles one incoming frame.
func (c *conn) handleFrame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.PingFrame:
		return c.handlePing(f)
	case *http2.WindowUpdateFrame:
		c.mu.Lock()
		defer c.mu.Unlock()
		window := &c.sendWindow
		if f.StreamID != 0 {
			s := c.streams[f.StreamID]
			if s == nil {
				return nil // the stream has ended
			}
			window = &s.window
		}
		if *window += int64(f.Increment); *window > maxWindow {
			return fmt.Errorf("%w: a window that is too large", errProtocol)
		}
		c.signal()
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
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
		c.finishStream(s, r, core.Value{}, nil, http2.ErrCodeNo)
	case *http2.GoAwayFrame:
		c.handleGoAway(f)
	case *http2.PushPromiseFrame:
		return fmt.Errorf("%w: a PUSH_PROMISE although push is disabled", errProtocol)
	}
	return nil
}

func (c *conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.HasDuplicates() {
		return fmt.Errorf("%w: a duplicate setting", errProtocol)
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingMaxConcurrentStreams:
			c.maxStreams = s.Val
		case http2.SettingMaxFrameSize:
			c.maxFrame = min(s.Val, writeHighWater)
		case http2.SettingHeaderTableSize:
			c.encoder.SetMaxDynamicTableSizeLimit(min(s.Val, 4096))
		case http2.SettingInitialWindowSize:
			delta := int64(s.Val) - c.initialWindow
			c.initialWindow = int64(s.Val)
			for _, st := range c.streams {
				if st.window += delta; st.window > maxWindow {
					return fmt.Errorf("%w: a window that is too large", errProtocol)
				}
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.gotSettings = true
	if err := c.framer.WriteSettingsAck(); err != nil {
		return err
	}
	c.signal()
	return nil
}

func (c *conn) handlePing(f *http2.PingFrame) error {
	c.mu.Lock()
	if !f.IsAck() {
		defer c.mu.Unlock()
		if err := c.framer.WritePing(true, f.Data); err != nil {
			return errors.New("the node does not read")
		}
		c.signal()
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
		c.backend.probeDone(c.node, balance.OK, time.Since(p.sentAt))
	}
	return nil
}

// handleGoAway ends the calls that the server has not accepted; the accepted ones continue.
func (c *conn) handleGoAway(f *http2.GoAwayFrame) {
	c.mu.Lock()
	c.retired = true
	var rejected []*stream
	for id, s := range c.streams {
		if id > f.LastStreamID {
			rejected = append(rejected, s)
		}
	}
	rejected = append(rejected, c.pending...)
	for _, s := range rejected {
		c.remove(s)
	}
	c.mu.Unlock()
	c.signal()
	c.backend.log.Info("a node sent GOAWAY", "node", c.node.name, "code", f.ErrCode, "left_out", len(rejected))
	for _, s := range rejected {
		c.backend.finishAttempt(c.node, s.attempt,
			translate.Result{Outcome: balance.NotSent, Reason: translate.Rejected}, core.Value{}, nil)
	}
}

// finishStream ends a call with its result. It resets the stream if the server has not ended it.
func (c *conn) finishStream(s *stream, r translate.Result, v core.Value, report []float32,
	code http2.ErrCode) {
	c.mu.Lock()
	if c.closed || c.streams[s.id] != s {
		c.mu.Unlock()
		return
	}
	if !s.endQueued && r.Outcome != balance.OK {
		r.Outcome = balance.NotSent // its last byte was not written and never will be
	}
	if code != http2.ErrCodeNo || !s.endQueued {
		c.resetStream(s, code)
	}
	c.remove(s)
	c.lastUsed = time.Now()
	c.mu.Unlock()
	c.backend.finishAttempt(c.node, s.attempt, r, v, report)
}

// openStream returns the open stream with an id, or nil. Frames for streams that have ended are ignored.
func (c *conn) openStream(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	s := c.openStream(f.StreamID)
	if s == nil {
		if f.StreamID%2 == 0 {
			return fmt.Errorf("%w: a stream opened by the server", errProtocol)
		}
		return nil
	}
	fail := func(code http2.ErrCode) error {
		c.finishStream(s, translate.Result{Outcome: balance.Error, Reason: translate.UnreadableReply},
			core.Value{}, nil, code)
		return nil
	}
	if f.Truncated {
		return fail(http2.ErrCodeProtocol)
	}
	if !s.gotHeaders {
		status, err := strconv.Atoi(f.PseudoValue("status"))
		if err != nil {
			return fail(http2.ErrCodeProtocol)
		}
		if status >= 100 && status < 200 {
			return nil
		}
		s.gotHeaders, s.status = true, status
	} else if !f.StreamEnded() {
		return fail(http2.ErrCodeProtocol) // headers in the middle of the stream
	}
	contentType, code, unseen, encoding := "", "", false, ""
	for _, h := range f.RegularFields() {
		switch h.Name {
		case "content-type":
			contentType = h.Value
		case "grpc-status":
			code = h.Value
		case "lapislever-unseen":
			unseen = h.Value == "1"
		case "grpc-encoding":
			encoding = h.Value
		}
	}
	if !f.StreamEnded() {
		if s.status != 200 || !strings.HasPrefix(contentType, "application/grpc") {
			c.finishStream(s, translate.FromHTTP(s.status), core.Value{}, nil, http2.ErrCodeCancel)
		} else if encoding != "" && encoding != "identity" {
			c.finishStream(s, translate.Result{Outcome: balance.Error, Reason: translate.Compressed}, core.Value{},
				nil, http2.ErrCodeCancel)
		}
		return nil
	}
	if code == "" && s.status != 200 {
		c.finishStream(s, translate.FromHTTP(s.status), core.Value{}, nil, http2.ErrCodeNo)
		return nil
	}
	status, known := translate.ParseStatus(code)
	if !known {
		c.finishStream(s, translate.Result{Outcome: balance.Error, Reason: translate.UnknownStatus},
			core.Value{}, nil, http2.ErrCodeNo)
		return nil
	}
	r, v, report := translate.FromStatus(status, unseen), core.Value{}, []float32(nil)
	if status == translate.OK {
		r, v, report = c.backend.decodeReply(s)
	}
	c.finishStream(s, r, v, report, http2.ErrCodeNo)
	return nil
}

func (c *conn) handleData(f *http2.DataFrame) error {
	size := int(f.Length)
	c.mu.Lock()
	if c.received += size; c.received >= windowUpdateAt {
		if c.framer.WriteWindowUpdate(0, uint32(c.received)) != nil {
			c.mu.Unlock()
			return errors.New("the node does not read")
		}
		c.received = 0
		c.signal()
	}
	s := c.streams[f.StreamID]
	c.mu.Unlock()
	if s == nil {
		return nil
	}
	fail := func(reason translate.Reason, code http2.ErrCode) error {
		c.finishStream(s, translate.Result{Outcome: balance.Error, Reason: reason}, core.Value{}, nil, code)
		return nil
	}
	if !s.gotHeaders {
		return fail(translate.UnreadableReply, http2.ErrCodeProtocol)
	}
	if len(s.reply)+len(f.Data()) > c.backend.maxReply() {
		return fail(translate.TooLarge, http2.ErrCodeCancel)
	}
	s.reply = append(s.reply, f.Data()...) // only the read loop accesses the reply
	if f.StreamEnded() {                   // without trailers there is no status
		return fail(translate.UnknownStatus, http2.ErrCodeNo)
	}
	return nil
}
