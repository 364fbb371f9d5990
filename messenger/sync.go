package messenger

import (
	"encoding/binary"
	"strconv"
	"time"

	"almondpick/picker"
)

// SyncRecordSize is the encoded size of the record of one non-default flow, in bytes.
const SyncRecordSize = 12

// MaxSyncRecords is the largest number of records in one EncodedSyncMessage.
const MaxSyncRecords = 100

// maxReplicationLag is the largest replication lag that Validate accepts.
const maxReplicationLag = 24 * time.Hour

// EncodedSyncMessage is a picker.SyncMessage, which replicates the records of non-default flows,
// in the format in which it is sent. EncodedRecords holds the records in SyncRecordSize bytes
// each: the flow hash in 8 bytes, then the target ID in 4.
type EncodedSyncMessage struct {
	_                    struct{} `cbor:",toarray"`
	From                 string   // name of the sender
	Sequence             uint64
	AckedSequence        uint64
	ReplicationLagMillis int64 // rounded up; negative if not all queued records fit, so that no lag is known
	SenderComplete       bool
	ViewDigest           uint64
	EncodedRecords       []byte
}

// SyncMessageError reports a message whose encoded records have an invalid size, whose
// replication lag is too large, or which has no sender. Value is the size of the records in
// bytes, or the lag in milliseconds.
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

// EncodeSyncMessage returns a message of the instance named from in the format in which it is sent.
func EncodeSyncMessage(from string, m picker.SyncMessage) EncodedSyncMessage {
	lag := int64(-1)
	if m.ReplicationLag >= 0 {
		lag = (m.ReplicationLag + time.Millisecond - 1).Milliseconds()
	}
	b := make([]byte, 0, len(m.Records)*SyncRecordSize)
	for _, r := range m.Records {
		b = binary.BigEndian.AppendUint64(b, r.FlowHash)
		b = binary.BigEndian.AppendUint32(b, uint32(r.Target))
	}
	return EncodedSyncMessage{From: from, Sequence: m.Sequence, AckedSequence: m.AckedSequence, ReplicationLagMillis: lag, SenderComplete: m.SenderComplete, ViewDigest: m.ViewDigest, EncodedRecords: b}
}

// Decode returns the message. s must have passed Validate.
func (s EncodedSyncMessage) Decode() picker.SyncMessage {
	m := picker.SyncMessage{Sequence: s.Sequence, AckedSequence: s.AckedSequence, ReplicationLag: time.Duration(s.ReplicationLagMillis) * time.Millisecond, SenderComplete: s.SenderComplete, ViewDigest: s.ViewDigest}
	for b := s.EncodedRecords; len(b) >= SyncRecordSize; b = b[SyncRecordSize:] {
		m.Records = append(m.Records, picker.Record{
			FlowHash: binary.BigEndian.Uint64(b),
			Target:   picker.TargetID(binary.BigEndian.Uint32(b[8:])),
		})
	}
	return m
}
