// Package issuer gives out tickets for work that may not be repeated and remembers
// what became of each. Only the process that issued a ticket, or the successor it
// handed its table to, may run the work; so no agreement is needed to run it once.
package issuer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Ticket names one piece of work: the process that may run it and a number.
type IdempotencyKey struct {
	Instance    string
	Incarnation uint64
	Sequence    uint64
}

// Owner returns the part of the ticket that names the issuing process.
func (t IdempotencyKey) IssuerID() string {
	return t.Instance + "#" + strconv.FormatUint(t.Incarnation, 36)
}

// TicketError reports a ticket that this deployment has not issued.
type IdempotencyKeyError struct {
	Reason string
}

// Error implements error.
func (e *IdempotencyKeyError) Error() string {
	return "not a valid ticket: " + e.Reason
}

const (
	macBytes  = 12
	maxTicket = 256 // bytes
)

// Signer signs and checks tickets with the group's key.
type Signer struct {
	key []byte
}

// NewSigner returns a signer with the given key.
func NewSigner(key []byte) Signer {
	return Signer{key: key}
}

// Sign returns a short authentication code of text, in hexadecimal.
func (s Signer) Sign(text string) string {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(text))
	return hex.EncodeToString(h.Sum(nil)[:macBytes])
}

// Signed tells whether code is the authentication code of text.
func (s Signer) Verify(text, code string) bool {
	return hmac.Equal([]byte(s.Sign(text)), []byte(code))
}

// Format returns the ticket as callers carry it: instance, incarnation and number,
// separated by "~", and a code.
func (s Signer) FormatKey(t IdempotencyKey) string {
	text := t.Instance + "~" + strconv.FormatUint(t.Incarnation, 36) + "~" + strconv.FormatUint(t.Sequence, 36)
	return text + "~" + s.Sign("ticket "+text)
}

// Parse reads a ticket. It returns a *TicketError.
func (s Signer) ParseKey(text string) (IdempotencyKey, error) {
	if len(text) > maxTicket {
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
