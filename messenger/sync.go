package messenger

import (
	"encoding/binary"
	"strconv"
	"time"

	"almondpick/picker"
)

// RecordSize is the size of one exception in a Sync, in bytes.
const RecordSize = 12

// MaxRecords is how many exceptions one Sync carries at most.
const MaxRecords = 100

// maxLag bounds what a Sync may claim.
const maxLag = 24 * time.Hour

// Sync is picker.Sync as it travels. The records are packed: the flow, then the
// place.
type Sync struct {
	_        struct{} `cbor:",toarray"`
	From     string
	Sequence uint64
	Echo     uint64
	LagMilli int64 // rounded up; negative where the stream is not complete
	Claims   bool
	View     uint64
	Records  []byte
}

// SizeError reports packed records whose size does not hold together.
type SizeError struct {
	Size int // bytes
}

// Error implements error.
func (e *SizeError) Error() string {
	return "packed records have an impossible size: " + strconv.Itoa(e.Size)
}

// Validate checks a decoded message. It returns a *SizeError.
func (s Sync) Validate() error {
	if len(s.Records)%RecordSize != 0 || len(s.Records) > MaxRecords*RecordSize || s.From == "" {
		return &SizeError{Size: len(s.Records)}
	}
	if s.LagMilli > maxLag.Milliseconds() {
		return &SizeError{Size: int(s.LagMilli)}
	}
	return nil
}

// PackSync returns the form in which a message travels.
func PackSync(from string, m picker.SyncMessage) Sync {
	lag := int64(-1)
	if m.ReplicationLag >= 0 {
		lag = (m.ReplicationLag + time.Millisecond - 1).Milliseconds()
	}
	b := make([]byte, 0, len(m.Records)*RecordSize)
	for _, r := range m.Records {
		b = binary.BigEndian.AppendUint64(b, r.FlowHash)
		b = binary.BigEndian.AppendUint32(b, uint32(r.Target))
	}
	return Sync{From: from, Sequence: m.Sequence, Echo: m.AckedSequence, LagMilli: lag, Claims: m.SenderComplete, View: m.ViewDigest, Records: b}
}

// Unpack returns the message of a valid Sync.
func (s Sync) Unpack() picker.SyncMessage {
	m := picker.SyncMessage{Sequence: s.Sequence, AckedSequence: s.Echo, ReplicationLag: time.Duration(s.LagMilli) * time.Millisecond, SenderComplete: s.Claims, ViewDigest: s.View}
	for b := s.Records; len(b) >= RecordSize; b = b[RecordSize:] {
		m.Records = append(m.Records, picker.Record{
			FlowHash: binary.BigEndian.Uint64(b),
			Target:   picker.TargetID(binary.BigEndian.Uint32(b[8:])),
		})
	}
	return m
}
