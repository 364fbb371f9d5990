package messenger

import (
	"encoding/binary"
	"strconv"

	"almondpick/picker"
)

// UpdateSize is the size of one replicated exception, in bytes.
const UpdateSize = 12

// MaxUpdates is how many exceptions one datagram carries at most.
const MaxUpdates = 100

// Updates is a batch of exceptions for one backup. The records are packed: the
// flow, then the place, or no place (0) for a removal.
type Updates struct {
	_        struct{} `cbor:",toarray"`
	From     string
	Sequence uint64
	Records  []byte
}

// UpdatesAck acknowledges a batch.
type UpdatesAck struct {
	_        struct{} `cbor:",toarray"`
	From     string
	Sequence uint64
}

// HintSize is the size of one hint in a batch, in bytes.
const HintSize = 12

// Hints is a batch of hints from an owner. The records are packed: the flow, the
// place.
type Hints struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Records []byte
}

// Validate checks a decoded batch. It returns a *SizeError.
func (h Hints) Validate() error {
	if len(h.Records)%HintSize != 0 || len(h.Records) > MaxUpdates*HintSize || h.From == "" {
		return &SizeError{Size: len(h.Records)}
	}
	return nil
}

// PackHints returns the packed form of hints.
func PackHints(hints []picker.AddressedHint) []byte {
	b := make([]byte, 0, len(hints)*HintSize)
	for _, h := range hints {
		b = binary.BigEndian.AppendUint64(b, h.Hint.Hash)
		b = binary.BigEndian.AppendUint32(b, uint32(h.Hint.Place))
	}
	return b
}

// Each calls f for every record of a valid batch.
func (h Hints) Each(f func(picker.Hint)) {
	for b := h.Records; len(b) >= HintSize; b = b[HintSize:] {
		f(picker.Hint{
			Hash:  binary.BigEndian.Uint64(b),
			Place: picker.PlaceID(binary.BigEndian.Uint32(b[8:])),
		})
	}
}

// SizeError reports packed records whose size does not hold together.
type SizeError struct {
	Size int // bytes
}

// Error implements error.
func (e *SizeError) Error() string {
	return "packed updates have an impossible size: " + strconv.Itoa(e.Size)
}

// Validate checks a decoded batch. It returns a *SizeError.
func (u Updates) Validate() error {
	if len(u.Records)%UpdateSize != 0 || len(u.Records) > MaxUpdates*UpdateSize || u.From == "" {
		return &SizeError{Size: len(u.Records)}
	}
	return nil
}

// PackUpdates returns the packed form of updates.
func PackUpdates(updates []picker.Update) []byte {
	b := make([]byte, 0, len(updates)*UpdateSize)
	for _, u := range updates {
		place := uint32(u.Place)
		if u.Remove {
			place = 0
		}
		b = binary.BigEndian.AppendUint64(b, u.Hash)
		b = binary.BigEndian.AppendUint32(b, place)
	}
	return b
}

// Each calls f for every record of a valid batch.
func (u Updates) Each(f func(picker.Update)) {
	for b := u.Records; len(b) >= UpdateSize; b = b[UpdateSize:] {
		place := binary.BigEndian.Uint32(b[8:])
		f(picker.Update{
			Hash:   binary.BigEndian.Uint64(b),
			Place:  picker.PlaceID(place),
			Remove: place == 0,
		})
	}
}
