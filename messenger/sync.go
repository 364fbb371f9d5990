package messenger

import (
	"encoding/binary"
	"strconv"
	"time"

	"almondpick/picker"
)

// SyncRecordSize is the encoded size of one flow exception, in bytes.
const SyncRecordSize = 12

// MaxSyncRecords is the largest number of flow exceptions in one message.
const MaxSyncRecords = 100

// maxReplicationLag is the largest lag that Validate accepts.
const maxReplicationLag = 24 * time.Hour

// EncodedSyncMessage is a message of the replication of flow exceptions, in the format in which
// it is sent. EncodedRecords holds the exceptions in SyncRecordSize bytes each: the flow hash,
// then the place.
type EncodedSyncMessage struct {
	_                    struct{} `cbor:",toarray"`
	From                 string
	Sequence             uint64
	AckedSequence        uint64
	ReplicationLagMillis int64 // rounded up; negative if records had to wait, so that no lag is known
	SenderComplete       bool
	ViewDigest           uint64
	EncodedRecords       []byte
}

// SyncMessageError reports a message whose encoded records have an invalid size, whose lag is
// too large, or which has no sender. Value is the size of the records in bytes, or the lag in
// milliseconds.
type SyncMessageError struct {
	Value int
}

// Error implements error.
func (e *SyncMessageError) Error() string {
	return "sync message has an invalid size or lag: " + strconv.Itoa(e.Value)
}

// Validate checks a decoded message. It returns a *SyncMessageError.
func (s EncodedSyncMessage) Validate() error {
	if len(s.EncodedRecords)%SyncRecordSize != 0 || len(s.EncodedRecords) > MaxSyncRecords*SyncRecordSize || s.From == "" {
		return &SyncMessageError{Value: len(s.EncodedRecords)}
	}
	if s.ReplicationLagMillis > maxReplicationLag.Milliseconds() {
		return &SyncMessageError{Value: int(s.ReplicationLagMillis)}
	}
	return nil
}

// EncodeSyncMessage returns a message of the instance from in the format in which it is sent.
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

// Decode returns the message. s must have passed Validate.
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
