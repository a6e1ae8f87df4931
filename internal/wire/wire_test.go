package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"lapislever/balance"
)

// recorder records what the decoder passes to its handler.
type recorder struct {
	spawned   []string
	killed    []uint32
	instances []uint32
	events    []balance.Event
}

func (r *recorder) Spawn(_ uint32, _ uint64, params string) error {
	r.spawned = append(r.spawned, params)
	return nil
}
func (r *recorder) Killed(i uint32) { r.killed = append(r.killed, i) }
func (r *recorder) Event(i uint32, e balance.Event) error {
	r.instances, r.events = append(r.instances, i), append(r.events, e)
	return nil
}

func frame(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The example on the protocol page: a frame for two instances. TestEncodeReply has the reply to it.
const twoInstances = `05000000 52000000 5a5c800000000000 0c000000
	0401 03000000
	0801 c4913a5d 640ad2557c3bf091 00000000 e02e0000 0000003e 00005643 01 00 0000 da05840000000000
	0101 4d00000000000000
	0401 05000000
	0601 192b6f0e`

func TestDecodeTwoInstances(t *testing.T) {
	var r recorder
	var got Batch
	d := NewDecoder(bytes.NewReader(frame(t, twoInstances)))
	if err := d.Next(func(b Batch) { got = b }, &r); err != nil {
		t.Fatal(err)
	}
	if got.Seq != 12 || got.Now != 0x805c5a {
		t.Fatalf("header %+v", got)
	}
	if len(r.events) != 3 || r.instances[0] != 3 || r.instances[2] != 5 {
		t.Fatalf("%d events for %v", len(r.events), r.instances)
	}
	p := r.events[0]
	if p.Kind != balance.Part || p.ID != 0x5d3a91c4 || p.Shard != 0 || p.Hint != 12000 || p.Weight != 0.125 ||
		p.Number != 214 || p.Deadline != 0x8405da {
		t.Fatalf("part %+v", p)
	}
	if r.events[1].Kind != balance.WakeUp || r.events[2].Kind != balance.ClientGone ||
		r.events[2].ID != 0x0e6f2b19 {
		t.Fatalf("events %+v", r.events[1:])
	}
	if err := d.Next(func(Batch) {}, &r); !errors.Is(err, io.EOF) {
		t.Fatalf("at the end: %v", err)
	}
}

func TestDecodeListAndResult(t *testing.T) {
	text := `05000000 9b000000 0000000000000000 01000000
		0401 03000000
		0701 00 02000000
		0a124a07 431f 0000 00 0000 01 0000803f 0000000000000000
		0a9011f2 6c1f 0000 00 0100 01 0000c03f 20145d0000000000
		0201 02 2900000000000000 00
		0701 00 00000000
		0501 c4913a5d 00 01 44480000 0100 0a124a07 431f 01 0000003f`
	b := frame(t, text)
	b[4] = byte(len(b) - 8)
	var r recorder
	if err := NewDecoder(bytes.NewReader(b)).Next(func(Batch) {}, &r); err != nil {
		t.Fatal(err)
	}
	l := r.events[0]
	if l.Mode != balance.Cached || len(l.Replicas) != 2 {
		t.Fatalf("not the list as it was before its redefinition: %+v", l)
	}
	if x := l.Replicas[1]; x.Cell != 1 || x.Size != 1.5 || x.Started != 0x5d1420 || x.State != balance.Ready {
		t.Fatalf("list entry %+v", x)
	}
	if e := r.events[1]; e.Outcome != balance.OK || !e.Closed || e.Elapsed != 18500 ||
		e.Replica != l.Replicas[0].ID || len(e.Report) != 1 || e.Report[0] != 0.5 {
		t.Fatalf("result %+v", e)
	}
}

func TestEncodeReply(t *testing.T) {
	want := frame(t, `43000000 0c000000
		0d01 03000000
		0001 c4913a5d 0a124a07 431f 80380100
		0401 20a10700 0000000000000000
		0d01 05000000
		0801 1100 74776f2073657276657273206b6e6f776e`)
	var r Reply
	r.Begin(12)
	r.SetInstance(3)
	r.Action(balance.Action{Kind: balance.Send, ID: 0x5d3a91c4, Replica: 0x1f43074a120a, After: 80000})
	r.Action(balance.Action{Kind: balance.Wake, After: 500000})
	r.SetInstance(5)
	r.Action(balance.Action{Kind: balance.Note, Text: "two servers known"})
	if got := r.Bytes(); !bytes.Equal(got, want) {
		t.Fatalf("got  %x\nwant %x", got, want)
	}
}

func TestEncodeFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		a    balance.Action
		want string
	}{
		{balance.Action{Kind: balance.Answer, ID: 0x0e6f2b19, Complete: true}, "0c01 192b6f0e 01"},
		{balance.Action{Kind: balance.Refuse, ID: 1, After: 256}, "0101 01000000 00010000"},
		{balance.Action{Kind: balance.Fail, ID: 1}, "0201 01000000"},
		{balance.Action{Kind: balance.Cancel, ID: 1, Attempt: 2}, "0301 01000000 02"},
		{balance.Action{Kind: balance.Probe, Replica: 1}, "0501 010000000000"},
		{balance.Action{Kind: balance.Watch}, "0a01 01"},
		{balance.Action{Kind: balance.Fetch}, "0b01"},
		{balance.Action{Kind: balance.Unwatch}, "0a01 00"},
		{balance.Action{Kind: balance.Close, Replica: 1}, "0601 010000000000"},
		{balance.Action{Kind: balance.Tell, To: balance.AllPeers, Text: "hi 7"}, "0701 ffffffff 0400 68692037"},
	} {
		var r Reply
		r.Begin(0)
		r.Action(c.a)
		if got, want := r.Bytes()[8:], frame(t, c.want); !bytes.Equal(got, want) {
			t.Errorf("kind %d: got %x, want %x", c.a.Kind, got, want)
		}
	}
}

func TestMalformedFramesAreNamed(t *testing.T) {
	good := frame(t, twoInstances)
	edit := func(f func([]byte) []byte) []byte { return f(bytes.Clone(good)) }
	for name, c := range map[string]struct {
		b    []byte
		what string
	}{
		"header":  {good[:5], "inside its header"},
		"length":  {edit(func(b []byte) []byte { b[4] = 3; return b }), "not possible"},
		"short":   {good[:len(good)-3], "before its stated length"},
		"code":    {edit(func(b []byte) []byte { b[20] = 0xff; return b }), "not known"},
		"extra":   {edit(func(b []byte) []byte { b[0] = 4; return b }), "bytes follow"},
		"records": {edit(func(b []byte) []byte { b[0] = 6; return b }), "cut short"},
		"list": {frame(t, `02000000 1e000000 0000000000000000 01000000 0401 03000000
			0201 02 2900000000000000 07`), "never given"},
	} {
		err := NewDecoder(bytes.NewReader(c.b)).Next(func(Batch) {}, &recorder{})
		var fe *FrameError
		if !errors.As(err, &fe) || fe.Frame != 1 || !strings.Contains(fe.What, c.what) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(frame(f, twoInstances))
	f.Add(frame(f, `00000000 0c000000 5a5c800000000000 01000000`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := NewDecoder(bytes.NewReader(b))
		for range 100 {
			if err := d.Next(func(Batch) {}, &recorder{}); err != nil {
				return
			}
		}
	})
}

const someSettings = `extra.places=6
extra.reach=2
bounds.sendCap=3
bounds.cancel=true
lanes.count=2
lanes.0.goalTimeUs=2500000
lanes.0.hardLimitUs=6000000
lanes.0.idempotency=read_like
lanes.1.goalTimeUs=1200000
lanes.1.hardLimitUs=2500000
lanes.1.idempotency=non_idempotent
extra.classNeed=0.6,1.0
reporting.columns=avg_ms,waiting
reporting.via=probe
an.unknown.key=what_ever
tenants=`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(someSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Cells != 6 || s.Reach != 2 || s.MaxAttempts != 3 || !s.CanCancel || s.CanCopy || s.ReportQueue != 1 ||
		len(s.Classes) != 2 || s.Classes[1].Effect != balance.Unsafe || s.Classes[0].Need != 0.6 ||
		s.Classes[0].Floor != 1 || s.ResendSpan != 0 || s.OverShareWorth != 1 {
		t.Fatalf("%+v", s)
	}
}

func TestParseSettingsNamesWhatIsWrong(t *testing.T) {
	for old, edited := range map[string]string{
		"extra.places=6":                     "",
		"bounds.sendCap=3":                   "bounds.sendCap=three",
		"bounds.cancel=true":                 "bounds.cancel=perhaps",
		"lanes.0.goalTimeUs=2500000":         "",
		"lanes.1.idempotency=non_idempotent": "lanes.1.idempotency=odd",
	} {
		key, _, _ := strings.Cut(old, "=")
		_, err := ParseSettings(strings.Replace(someSettings, old, edited, 1))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
