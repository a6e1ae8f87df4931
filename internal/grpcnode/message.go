package grpcnode

// The messages of ledger.proto on the wire, and the head of a call. A test compiles the .proto and reads
// these back.

import (
	"encoding/binary"
	"errors"
	"math"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"lapislever/internal/translate"
)

// Path is the one method's.
const Path = "/lapislever.ledger.v1.Ledger/Run"

const prefixSize = 5 // of a message: whether it is compressed, and its length

// Part is a call's message.
type Part struct {
	ID     string
	Shard  uint32
	Class  string
	Filter []byte
	Micros uint64
	Term   uint64
}

// Append appends the message with its prefix.
func (p *Part) Append(b []byte) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, 0)
	text := func(n protowire.Number, v []byte) {
		if len(v) > 0 {
			b = protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
		}
	}
	number := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
		}
	}
	text(1, []byte(p.ID))
	number(2, uint64(p.Shard))
	text(3, []byte(p.Class))
	text(4, p.Filter)
	number(5, p.Micros)
	number(6, p.Term)
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-prefixSize))
	return b
}

// errMessage is a message that cannot be read.
var errMessage = errors.New("not a message of the service")

// fields calls f for each field of a message; what f does not know it skips.
func fields(b []byte, f func(n protowire.Number, t protowire.Type, v []byte, x uint64) bool) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errMessage
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
			return errMessage
		}
		b = b[size:]
	}
	return nil
}

// answerTypes are the wire types of an answer's fields.
var answerTypes = map[protowire.Number]protowire.Type{1: protowire.VarintType, 2: protowire.BytesType,
	3: protowire.VarintType, 4: protowire.Fixed64Type, 5: protowire.BytesType, 6: protowire.BytesType}

// ParseAnswer reads an answer's message, without its prefix. What it returns refers to b.
func ParseAnswer(b []byte) (translate.Answer, error) {
	var a translate.Answer
	err := fields(b, func(n protowire.Number, t protowire.Type, v []byte, x uint64) bool {
		if w, known := answerTypes[n]; known && w != t {
			return false
		}
		switch n {
		case 1:
			a.Shard = uint32(x)
		case 2, 5: // of a oneof the last one counts
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
			return fields(v, func(n protowire.Number, t protowire.Type, _ []byte, x uint64) bool {
				switch {
				case n == 1 && t == protowire.Fixed64Type:
					a.Rate = math.Float64frombits(x)
				case n == 2 && t == protowire.VarintType:
					a.Waiting = uint32(x)
				}
				return true
			}) == nil
		}
		return true
	})
	return a, err
}

// timeoutText is a grpc-timeout: at most eight digits and a unit.
func timeoutText(d time.Duration) string {
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
