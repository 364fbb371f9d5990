// Package issuer issues idempotency keys for requests that may run at most once and
// records the outcome of each. Only the process that issued a key, or the successor that
// received its table, may run the request, so at-most-once execution needs no consensus
// between instances. Callers know an idempotency key as a ticket (POST /v1/tickets).
package issuer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// IdempotencyKey identifies one request: the process that may run it (Instance and
// Incarnation) and its sequence number in that process.
type IdempotencyKey struct {
	Instance    string
	Incarnation uint64
	Sequence    uint64
}

// IssuerID returns the identifier of the process that issued the key.
func (k IdempotencyKey) IssuerID() string {
	return k.Instance + "#" + strconv.FormatUint(k.Incarnation, 36)
}

// IdempotencyKeyError reports a key that this deployment did not issue. Its text is sent
// to callers.
type IdempotencyKeyError struct {
	Reason string
}

// Error implements error.
func (e *IdempotencyKeyError) Error() string {
	return "not a valid ticket: " + e.Reason
}

const (
	macLength    = 12  // bytes
	maxKeyLength = 256 // bytes, in the format of FormatKey
)

// Signer signs and verifies idempotency keys, and the requests that instances forward to
// each other to be run, with the secret key that all instances of the group share.
type Signer struct {
	groupKey []byte
}

// NewSigner returns a Signer that uses the given secret key.
func NewSigner(groupKey []byte) Signer {
	return Signer{groupKey: groupKey}
}

// Sign returns a truncated HMAC-SHA256 of text, in hexadecimal.
func (s Signer) Sign(text string) string {
	mac := hmac.New(sha256.New, s.groupKey)
	mac.Write([]byte(text))
	return hex.EncodeToString(mac.Sum(nil)[:macLength])
}

// Verify reports whether code is the authentication code that Sign returns for text. The
// comparison takes constant time.
func (s Signer) Verify(text, code string) bool {
	return hmac.Equal([]byte(s.Sign(text)), []byte(code))
}

// FormatKey returns the text form of the key that callers send: instance, incarnation,
// sequence number and authentication code, separated by "~".
func (s Signer) FormatKey(k IdempotencyKey) string {
	text := k.Instance + "~" + strconv.FormatUint(k.Incarnation, 36) + "~" + strconv.FormatUint(k.Sequence, 36)
	return text + "~" + s.Sign("ticket "+text)
}

// ParseKey parses and verifies the text form of a key. Its error is an
// *IdempotencyKeyError.
func (s Signer) ParseKey(text string) (IdempotencyKey, error) {
	if len(text) > maxKeyLength {
		return IdempotencyKey{}, &IdempotencyKeyError{Reason: "too long"}
	}
	parts := strings.Split(text, "~")
	if len(parts) != 4 {
		return IdempotencyKey{}, &IdempotencyKeyError{Reason: "it has not four parts"}
	}
	if !s.Verify("ticket "+strings.Join(parts[:3], "~"), parts[3]) {
		return IdempotencyKey{}, &IdempotencyKeyError{Reason: "its code does not match"}
	}
	incarnation, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return IdempotencyKey{}, &IdempotencyKeyError{Reason: "its incarnation is no number"}
	}
	sequence, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return IdempotencyKey{}, &IdempotencyKeyError{Reason: "its sequence is no number"}
	}
	return IdempotencyKey{Instance: parts[0], Incarnation: incarnation, Sequence: sequence}, nil
}
