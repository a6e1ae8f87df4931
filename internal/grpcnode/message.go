package grpcnode

// Encoding and decoding of the messages of ledger.proto, and of a call's time-out. A test compiles the
// .proto and checks them against it.

import (
	"encoding/binary"
	"errors"
	"math"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"lapislever/internal/translate"
)

// MethodPath is the path of the only method.
const MethodPath = "/lapislever.ledger.v1.Ledger/Run"

const messagePrefixSize = 5 // of a message: the compressed flag and the length

// Part is the request message of a call.
type Part struct {
	ID     string
	Shard  uint32
	Class  string
	Filter []byte
	Micros uint64
	Term   uint64
}

// Append appends the encoded message with its prefix.
func (p *Part) Append(b []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0)
	appendBytes := func(n protowire.Number, v []byte) {
		if len(v) > 0 {
			b = protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
		}
	}
	appendVarint := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
		}
	}
	appendBytes(1, []byte(p.ID))
	appendVarint(2, uint64(p.Shard))
	appendBytes(3, []byte(p.Class))
	appendBytes(4, p.Filter)
	appendVarint(5, p.Micros)
	appendVarint(6, p.Term)
	binary.BigEndian.PutUint32(b[start+1:], uint32(len(b)-start-messagePrefixSize))
	return b
}

// errMalformed is the error for a message that cannot be decoded.
var errMalformed = errors.New("malformed message")

// Numbers that fields which ledger.proto does not name yet may have. The first two bytes of such a field's
// tag are no UTF-8: no text begins with them, so the rest of a text whose length is too small is no further
// field.
const (
	minFurtherField protowire.Number = 16
	maxFurtherField protowire.Number = 2047
)

// isFurtherField reports whether a field that is not known here may be ignored.
func isFurtherField(n protowire.Number) bool { return minFurtherField <= n && n <= maxFurtherField }

// walkFields calls f for each field of a message. f returns false for malformed fields.
func walkFields(b []byte, f func(n protowire.Number, t protowire.Type, v []byte, x uint64) bool) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errMalformed
		}
		b = b[size:]
		var v []byte
		var x uint64
		switch t {
		case protowire.VarintType:
			x, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			x, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			v, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, t, b)
		}
		if size < 0 || !f(n, t, v, x) {
			return errMalformed
		}
		b = b[size:]
	}
	return nil
}

// answerWireTypes holds the wire types of an answer's fields.
var answerWireTypes = map[protowire.Number]protowire.Type{1: protowire.VarintType, 2: protowire.BytesType,
	3: protowire.VarintType, 4: protowire.Fixed64Type, 5: protowire.BytesType, 6: protowire.BytesType}

// ParseAnswer decodes an answer message without its prefix. The result refers to b.
func ParseAnswer(b []byte) (translate.Answer, error) {
	var a translate.Answer
	err := walkFields(b, func(n protowire.Number, t protowire.Type, v []byte, x uint64) bool {
		if w, known := answerWireTypes[n]; !known || w != t {
			return !known && isFurtherField(n)
		}
		switch n {
		case 1:
			a.Shard = uint32(x)
		case 2, 5: // the last field of a oneof counts
			a.Kind, a.Text = translate.Text, v
			if n == 5 {
				a.Kind = translate.Bytes
			}
		case 3:
			a.Kind, a.Integer = translate.Integer, protowire.DecodeZigZag(x)
		case 4:
			a.Kind = translate.Float
		case 6:
			a.HasReport = true
			return parseLoad(v, &a) == nil
		}
		return true
	})
	return a, err
}

// parseLoad decodes the load report of an answer.
func parseLoad(b []byte, a *translate.Answer) error {
	return walkFields(b, func(n protowire.Number, t protowire.Type, _ []byte, x uint64) bool {
		switch {
		case n == 1 && t == protowire.Fixed64Type:
			a.Rate = math.Float64frombits(x)
		case n == 2 && t == protowire.VarintType:
			a.Waiting = uint32(x)
		default:
			return isFurtherField(n)
		}
		return true
	})
}

// formatTimeout formats a grpc-timeout header: at most eight digits and a unit.
func formatTimeout(d time.Duration) string {
	us := max(1, d.Microseconds())
	for _, u := range []struct {
		size int64
		name string
	}{{1, "u"}, {1000, "m"}, {1_000_000, "S"}, {60_000_000, "M"}} {
		if n := us / u.size; n < 100_000_000 {
			return strconv.FormatInt(max(1, n), 10) + u.name
		}
	}
	return "99999999H"
}
