package messenger

import (
	"encoding/binary"
	"strconv"
	"time"

	"almondpick/picker"
)

// RecordSize is the size of one exception in a Sync, in bytes.
const SyncRecordSize = 12

// MaxRecords is how many exceptions one Sync carries at most.
const MaxSyncRecords = 100

// maxLag bounds what a Sync may claim.
const maxReplicationLag = 24 * time.Hour

// Sync is picker.Sync as it travels. The records are packed: the flow, then the
// place.
type EncodedSyncMessage struct {
	_                    struct{} `cbor:",toarray"`
	From                 string
	Sequence             uint64
	AckedSequence        uint64
	ReplicationLagMillis int64 // rounded up; negative where the stream is not complete
	SenderComplete       bool
	ViewDigest           uint64
	EncodedRecords       []byte
}

// SizeError reports packed records whose size does not hold together.
type SyncMessageError struct {
	Value int // bytes
}

// Error implements error.
func (e *SyncMessageError) Error() string {
	return "packed records have an impossible size: " + strconv.Itoa(e.Value)
}

// Validate checks a decoded message. It returns a *SizeError.
func (s EncodedSyncMessage) Validate() error {
	if len(s.EncodedRecords)%SyncRecordSize != 0 || len(s.EncodedRecords) > MaxSyncRecords*SyncRecordSize || s.From == "" {
		return &SyncMessageError{Value: len(s.EncodedRecords)}
	}
	if s.ReplicationLagMillis > maxReplicationLag.Milliseconds() {
		return &SyncMessageError{Value: int(s.ReplicationLagMillis)}
	}
	return nil
}

// PackSync returns the form in which a message travels.
func EncodeSyncMessage(from string, m picker.Sync) EncodedSyncMessage {
	lag := int64(-1)
	if m.Lag >= 0 {
		lag = (m.Lag + time.Millisecond - 1).Milliseconds()
	}
	b := make([]byte, 0, len(m.Records)*SyncRecordSize)
	for _, r := range m.Records {
		b = binary.BigEndian.AppendUint64(b, r.Hash)
		b = binary.BigEndian.AppendUint32(b, uint32(r.Place))
	}
	return EncodedSyncMessage{From: from, Sequence: m.Sequence, AckedSequence: m.Echo, ReplicationLagMillis: lag, SenderComplete: m.Claims, ViewDigest: m.View, EncodedRecords: b}
}

// Unpack returns the message of a valid Sync.
func (s EncodedSyncMessage) Decode() picker.Sync {
	m := picker.Sync{Sequence: s.Sequence, Echo: s.AckedSequence, Lag: time.Duration(s.ReplicationLagMillis) * time.Millisecond, Claims: s.SenderComplete, View: s.ViewDigest}
	for b := s.EncodedRecords; len(b) >= SyncRecordSize; b = b[SyncRecordSize:] {
		m.Records = append(m.Records, picker.Record{
			Hash:  binary.BigEndian.Uint64(b),
			Place: picker.PlaceID(binary.BigEndian.Uint32(b[8:])),
		})
	}
	return m
}
