package fleet

// The seal of a datagram. Without keys it bears a sum, against damage; with keys it is sealed by AES-256-GCM
// with a random nonce (NIST SP 800-38D, 8.2.2), and two clear bytes before it that are bound too.
//
//	plain:  0xF1, sum (8), content
//	sealed: 0xF2, print of the key, nonce (12), content, tag (16)

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"lapislever/internal/membership"
)

const (
	keySize     = 32
	family      = 0xF0 // of the first byte, the upper half: this protocol; the lower its version
	plainForm   = 0xF1
	sealedForm  = 0xF2
	plainHead   = 1 + 8
	sealedHead  = 2 + 12
	sealedRest  = sealedHead + 16
	maxDatagram = 256
)

// The compiler holds that what is sealed never passes 256 bytes.
const _ = uint(maxDatagram - sealedRest - membership.MaxPlain)

// Why a datagram could not be opened.
var (
	errCut      = errors.New("cut")
	errLong     = errors.New("long")
	errForeign  = errors.New("foreign")
	errVersion  = errors.New("version")
	errDamaged  = errors.New("damaged")
	errKey      = errors.New("key")
	errUnsealed = errors.New("unsealed")
	errFull     = errors.New("queue_full")
	errMessage  = errors.New("message") // of a layer above, and not readable
)

var openErrors = []error{errCut, errLong, errForeign, errVersion, errDamaged, errKey, errUnsealed, errFull,
	errMessage}

// key is one that seals and opens.
type key struct {
	print byte // tells keys apart before the work of opening; two may share one
	gcm   cipher.AEAD
}

// keyring is the keys in use. Empty: no seal.
type keyring struct{ keys []key }

func (k *keyring) add(secret []byte) error {
	block, err := aes.NewCipher(secret)
	if err != nil {
		return err
	}
	gcm, err := cipher.NewGCM(block)
	if err != nil {
		return err
	}
	k.keys = append(k.keys, key{print: byte(xxhash.Sum64(append([]byte("print"), secret...))), gcm: gcm})
	return nil
}

// seal makes a datagram of a content.
func (k *keyring) seal(content []byte) []byte {
	if len(k.keys) == 0 {
		b := make([]byte, plainHead, plainHead+len(content))
		b[0] = plainForm
		binary.LittleEndian.PutUint64(b[1:], xxhash.Sum64(content))
		return append(b, content...)
	}
	first := &k.keys[0]
	b := make([]byte, sealedHead, sealedRest+len(content))
	b[0], b[1] = sealedForm, first.print
	_, _ = rand.Read(b[2:sealedHead]) // it never fails: crypto/rand
	return first.gcm.Seal(b, b[2:sealedHead], content, b[:2])
}

// open is a datagram's content.
func (k *keyring) open(b []byte) ([]byte, error) {
	switch {
	case len(b) == 0:
		return nil, errCut
	case len(b) > maxDatagram:
		return nil, errLong
	case b[0]&family != family:
		return nil, errForeign
	case b[0] != plainForm && b[0] != sealedForm:
		return nil, errVersion
	case b[0] == plainForm && len(k.keys) > 0:
		return nil, errUnsealed
	case b[0] == plainForm:
		if len(b) <= plainHead {
			return nil, errCut
		}
		if xxhash.Sum64(b[plainHead:]) != binary.LittleEndian.Uint64(b[1:]) {
			return nil, errDamaged
		}
		return b[plainHead:], nil
	case len(b) <= sealedRest:
		return nil, errCut
	}
	err := errKey
	for i := range k.keys {
		if k.keys[i].print != b[1] {
			continue
		}
		content, oerr := k.keys[i].gcm.Open(nil, b[2:sealedHead], b[sealedHead:], b[:2])
		if oerr == nil {
			return content, nil
		}
		err = errDamaged
	}
	return nil, err
}
