package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondpick/parser"
)

// DatagramKind tells the sealed datagrams apart.
type DatagramKind uint8

// The kinds of datagrams.
const (
	DatagramGossip DatagramKind = iota + 1
	DatagramSync
	datagramKindEnd
)

const (
	// datagramMark is the first byte of a sealed datagram: its upper two bits are
	// a version that Geneve does not have.
	datagramMarker  = 0xa0
	datagramMACSize = 16 // bytes of HMAC-SHA-256 at the end
)

// GroupKeySize is the size of a group key, in bytes. A key of zeros leaves datagrams
// checked for damage but not protected.
const GroupKeySize = 32

// Keys are what the group key gives: every purpose has a key of its own.
type DerivedKeys struct {
	datagramMACKey []byte
	optionMACSeed  parser.Seed
	FlowHashSeed   parser.Seed
}

// KeyError reports a group key of the wrong size.
type GroupKeySizeError struct {
	Size int // bytes
}

// Error implements error.
func (e *GroupKeySizeError) Error() string {
	return "the group key has to have 32 bytes"
}

// SealError reports a datagram whose seal does not hold.
type DatagramError struct {
	Reason string
}

// Error implements error.
func (e *DatagramError) Error() string {
	return "datagram rejected: " + e.Reason
}

// NewKeys derives the keys of a group. It returns a *KeyError.
func DeriveKeys(groupKey []byte) (DerivedKeys, error) {
	if len(groupKey) != GroupKeySize {
		return DerivedKeys{}, &GroupKeySizeError{Size: len(groupKey)}
	}
	return DerivedKeys{
		datagramMACKey: deriveKey(groupKey, "seal"),
		optionMACSeed:  seedFromKey(deriveKey(groupKey, "relay")),
		FlowHashSeed:   seedFromKey(deriveKey(groupKey, "flow")),
	}, nil
}

func deriveKey(groupKey []byte, purpose string) []byte {
	h := hmac.New(sha256.New, groupKey)
	h.Write([]byte("almondpick/" + purpose))
	return h.Sum(nil)
}

func seedFromKey(b []byte) parser.Seed {
	return parser.Seed{K0: binary.BigEndian.Uint64(b), K1: binary.BigEndian.Uint64(b[8:])}
}

// IsDatagram tells a sealed datagram from a Geneve packet.
func IsSignedDatagram(b []byte) bool {
	return len(b) > 0 && b[0] == datagramMarker
}

// Seal encodes v as a datagram.
func (k DerivedKeys) SignDatagram(kind DatagramKind, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode datagram")
	}
	b := append([]byte{datagramMarker, byte(kind)}, body...)
	return k.appendMAC(b), nil
}

func (k DerivedKeys) appendMAC(b []byte) []byte {
	h := hmac.New(sha256.New, k.datagramMACKey)
	h.Write(b)
	return append(b, h.Sum(nil)[:datagramMACSize]...)
}

// Open checks the seal of a datagram and returns its kind and body. It returns a
// *SealError.
func (k DerivedKeys) VerifyDatagram(b []byte) (DatagramKind, []byte, error) {
	if len(b) < 2+datagramMACSize || b[0] != datagramMarker {
		return 0, nil, &DatagramError{Reason: "short"}
	}
	body := b[:len(b)-datagramMACSize]
	h := hmac.New(sha256.New, k.datagramMACKey)
	h.Write(body)
	if !hmac.Equal(h.Sum(nil)[:datagramMACSize], b[len(b)-datagramMACSize:]) {
		return 0, nil, &DatagramError{Reason: "forged"}
	}
	kind := DatagramKind(b[1])
	if kind == 0 || kind >= datagramKindEnd {
		return 0, nil, &DatagramError{Reason: "kind"}
	}
	return kind, body[2:], nil
}
