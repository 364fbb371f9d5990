package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondpick/parser"
)

// DatagramKind is the kind of content of a signed datagram.
type DatagramKind uint8

// The kinds of datagrams. The numbers are sent.
const (
	DatagramGossip DatagramKind = iota + 1 // a gossiper.Message
	DatagramSync                           // an EncodedSyncMessage
	datagramKindEnd
)

const (
	// datagramMarker is the first byte of a signed datagram. Its upper two bits are a version
	// that Geneve does not have, which distinguishes the datagram from a Geneve packet.
	datagramMarker  = 0xa0
	datagramMACSize = 16 // bytes of the truncated HMAC-SHA-256 at the end
)

// GroupKeySize is the size of a group key, in bytes. With a key of zeros, datagrams are checked
// for damage but not protected against forgery.
const GroupKeySize = 32

// DerivedKeys holds the keys that are derived from the group key, one for each purpose. All
// instances of a group have the same ones.
type DerivedKeys struct {
	datagramMACKey []byte
	optionMACKey   parser.SipHashKey // for the MAC of Geneve options
	FlowHashKey    parser.SipHashKey // for flow hashes
}

// GroupKeySizeError reports a group key of the wrong size.
type GroupKeySizeError struct {
	Size int // bytes
}

// Error implements error.
func (e *GroupKeySizeError) Error() string {
	return "the group key must be 32 bytes long"
}

// DatagramError reports a datagram that is too short or has no datagramMarker, has a wrong MAC,
// or is of an unknown kind.
type DatagramError struct {
	Reason string
}

// Error implements error.
func (e *DatagramError) Error() string {
	return "datagram rejected: " + e.Reason
}

// DeriveKeys derives the keys for all purposes from the group key. It returns a
// *GroupKeySizeError.
func DeriveKeys(groupKey []byte) (DerivedKeys, error) {
	if len(groupKey) != GroupKeySize {
		return DerivedKeys{}, &GroupKeySizeError{Size: len(groupKey)}
	}
	return DerivedKeys{
		datagramMACKey: deriveKey(groupKey, "seal"),
		optionMACKey:   newSipHashKey(deriveKey(groupKey, "relay")),
		FlowHashKey:    newSipHashKey(deriveKey(groupKey, "flow")),
	}, nil
}

// deriveKey returns the key for one purpose: the HMAC-SHA-256, with the group key, of the name
// of the purpose.
func deriveKey(groupKey []byte, purpose string) []byte {
	h := hmac.New(sha256.New, groupKey)
	h.Write([]byte("almondpick/" + purpose))
	return h.Sum(nil)
}

// newSipHashKey returns the SipHash key in the first 16 bytes of b.
func newSipHashKey(b []byte) parser.SipHashKey {
	return parser.SipHashKey{K0: binary.BigEndian.Uint64(b), K1: binary.BigEndian.Uint64(b[8:])}
}

// IsSignedDatagram reports whether b is marked as a signed datagram, and so is not a Geneve
// packet. It does not verify the MAC.
func IsSignedDatagram(b []byte) bool {
	return len(b) > 0 && b[0] == datagramMarker
}

// SignDatagram encodes v as a datagram of the given kind and appends the MAC. The content is
// not encrypted.
func (k DerivedKeys) SignDatagram(kind DatagramKind, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode datagram")
	}
	b := append([]byte{datagramMarker, byte(kind)}, body...)
	return k.appendMAC(b), nil
}

// appendMAC appends the truncated HMAC-SHA-256 of b.
func (k DerivedKeys) appendMAC(b []byte) []byte {
	h := hmac.New(sha256.New, k.datagramMACKey)
	h.Write(b)
	return append(b, h.Sum(nil)[:datagramMACSize]...)
}

// VerifyDatagram verifies the MAC of a datagram and returns its kind and encoded content. It
// returns a *DatagramError.
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
