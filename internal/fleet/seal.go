package fleet

// Sealing of datagrams. Without keys a datagram carries a checksum against corruption. With keys it is sealed
// by AES-256-GCM with a random nonce (NIST SP 800-38D, 8.2.2); the two clear bytes at its start are
// authenticated too.
//
//	plain:  0xF1, checksum (8), content
//	sealed: 0xF2, key fingerprint, nonce (12), content, tag (16)

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
	keySize          = 32
	protocolBits     = 0xF0 // upper half of the first byte: this protocol; the lower half is its version
	plainMagic       = 0xF1
	sealedMagic      = 0xF2
	plainHeaderSize  = 1 + 8
	sealedHeaderSize = 2 + 12
	sealOverhead     = sealedHeaderSize + 16
	maxDatagram      = 256
)

// Compile-time check that a sealed datagram never exceeds 256 bytes.
const _ = uint(maxDatagram - sealOverhead - membership.MaxPlain)

// The reasons for dropping a datagram.
var (
	errTruncated  = errors.New("cut")
	errTooLong    = errors.New("long")
	errForeign    = errors.New("foreign")
	errVersion    = errors.New("version")
	errDamaged    = errors.New("damaged")
	errUnknownKey = errors.New("key")
	errUnsealed   = errors.New("unsealed")
	errQueueFull  = errors.New("queue_full")
	errBadMessage = errors.New("message") // malformed message of the layer above membership
)

var dropErrors = []error{errTruncated, errTooLong, errForeign, errVersion, errDamaged, errUnknownKey,
	errUnsealed, errQueueFull, errBadMessage}

// key is a key for sealing and opening.
type key struct {
	fingerprint byte // selects keys before the costly decryption; two keys may share a fingerprint
	gcm         cipher.AEAD
}

// keyring holds the keys in use. If it is empty, datagrams are not sealed.
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
	k.keys = append(k.keys, key{fingerprint: byte(xxhash.Sum64(append([]byte("print"), secret...))), gcm: gcm})
	return nil
}

// seal returns the sealed datagram for a content.
func (k *keyring) seal(content []byte) []byte {
	if len(k.keys) == 0 {
		b := make([]byte, plainHeaderSize, plainHeaderSize+len(content))
		b[0] = plainMagic
		binary.LittleEndian.PutUint64(b[1:], xxhash.Sum64(content))
		return append(b, content...)
	}
	first := &k.keys[0]
	b := make([]byte, sealedHeaderSize, sealOverhead+len(content))
	b[0], b[1] = sealedMagic, first.fingerprint
	_, _ = rand.Read(b[2:sealedHeaderSize]) // crypto/rand's Read never fails
	return first.gcm.Seal(b, b[2:sealedHeaderSize], content, b[:2])
}

// open verifies a datagram and returns its content.
func (k *keyring) open(b []byte) ([]byte, error) {
	switch {
	case len(b) == 0:
		return nil, errTruncated
	case len(b) > maxDatagram:
		return nil, errTooLong
	case b[0]&protocolBits != protocolBits:
		return nil, errForeign
	case b[0] != plainMagic && b[0] != sealedMagic:
		return nil, errVersion
	case b[0] == plainMagic && len(k.keys) > 0:
		return nil, errUnsealed
	case b[0] == plainMagic:
		if len(b) <= plainHeaderSize {
			return nil, errTruncated
		}
		if xxhash.Sum64(b[plainHeaderSize:]) != binary.LittleEndian.Uint64(b[1:]) {
			return nil, errDamaged
		}
		return b[plainHeaderSize:], nil
	case len(b) <= sealOverhead:
		return nil, errTruncated
	}
	err := errUnknownKey
	for i := range k.keys {
		if k.keys[i].fingerprint != b[1] {
			continue
		}
		content, oerr := k.keys[i].gcm.Open(nil, b[2:sealedHeaderSize], b[sealedHeaderSize:], b[:2])
		if oerr == nil {
			return content, nil
		}
		err = errDamaged
	}
	return nil, err
}
