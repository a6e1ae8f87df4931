package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const params = `extra.places=1
extra.reach=1
bounds.sendCap=3
bounds.cancel=true
quantumUs=5000
lanes.count=1
lanes.0.goalTimeUs=1000000
lanes.0.hardLimitUs=3000000
lanes.0.idempotency=read_like
`

// batch encodes one frame with the given records.
func batch(seq uint32, now uint64, records ...[]byte) []byte {
	body := binary.LittleEndian.AppendUint64(nil, now)
	body = binary.LittleEndian.AppendUint32(body, seq)
	for _, r := range records {
		body = append(body, r...)
	}
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(records)))
	return append(binary.LittleEndian.AppendUint32(head, uint32(len(body))), body...)
}

func record(code uint16, fields ...any) []byte {
	var b bytes.Buffer
	binary.Write(&b, binary.LittleEndian, code)
	for _, f := range fields {
		binary.Write(&b, binary.LittleEndian, f)
	}
	return b.Bytes()
}

func spawn() []byte {
	return append(record(267, uint64(1), uint32(len(params))), params...)
}

// list defines list 0 with one ready replica.
func list() []byte {
	return record(263, uint8(0), uint32(1), [6]byte{10, 0, 0, 1, 64, 31}, uint16(0), uint8(0),
		uint16(0), uint8(1),
		float32(2), uint64(0))
}

func TestCrashAndRestartInOneBatch(t *testing.T) {
	at := record(260, uint32(3))
	targets := record(258, uint8(2), uint64(1), uint8(0))
	query := record(264, uint32(7), uint64(0), float32(-1), uint32(0), float32(1), float32(1),
		uint8(0), uint8(0),
		uint16(0), uint64(9_000_000))
	part := record(264, uint32(8), uint64(0), float32(0), uint32(0), float32(1), float32(1),
		uint8(0), uint8(0),
		uint16(0), uint64(9_000_000))
	in := batch(1, 5_000_000)
	in = append(in, batch(2, 6_000_000, at, spawn(), list(), targets, query, part)...)
	in = append(in, batch(3, 6_005_000, at, record(259), spawn(), list(), targets)...)
	in = append(in, batch(4, 9_500_000, at, record(257, uint64(0)))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var replies [][]byte
	for b := out.Bytes(); len(b) > 0; {
		n := 4 + binary.LittleEndian.Uint32(b)
		replies = append(replies, b[4:n])
		b = b[n:]
	}
	if len(replies) != 4 {
		t.Fatalf("%d replies, want 4", len(replies))
	}
	if !bytes.Contains(replies[1], record(256, uint32(8), [6]byte{10, 0, 0, 1, 64, 31})) {
		t.Fatalf("the part was not sent: %x", replies[1])
	}
	if len(replies[3]) != 4 {
		t.Fatalf("the restarted instance acted on queries of its predecessor: %x", replies[3])
	}
}

func TestBadInputIsAnErrorNotAPanic(t *testing.T) {
	for name, in := range map[string][]byte{
		"unknown code": batch(1, 0, record(999)),
		"truncated":    batch(1, 0, record(260, uint32(1)))[:18],
		"bad settings": batch(1, 0, record(260, uint32(1)), record(267, uint64(1), uint32(0))),
	} {
		err := run(bytes.NewReader(in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), "frame 1, byte ") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
