// Package journaler is the durable storage of a voter: a write-ahead log with hard states and
// entries, and a snapshot. Every record has a length and a checksum. A torn record at the end
// of the log is truncated; any other corruption is an error.
//
// The data folder holds an identity that is created once, at most one snapshot, and one log.
// A snapshot is written to a temporary file, synced and renamed. Then a new log that begins
// with the current hard state replaces the old log in the same way, so that a crash at any
// point leaves a consistent state.
package journaler

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondpick/voter"
)

// Names of the files in the data folder.
const (
	IdentityFile    = "identity"
	SnapshotFile    = "snapshot"
	LogFile         = "log"
	temporarySuffix = ".new"
)

const headerSize = 8 // bytes: 4 of payload length, 4 of checksum

// maxPayloadSize is the size of a record's payload at most, in bytes. A longer payload length
// marks a record as invalid.
const maxPayloadSize = 64 << 20

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// record is one record of the log file. At least one field is set.
type record struct {
	HardState *voter.HardState `cbor:"hard,omitempty"`
	Entries   []voter.Entry    `cbor:"entries,omitempty"`
}

// State is the state that Open read from a data folder.
type State struct {
	Identity       string
	FolderWasEmpty bool // no identity was found; a new one was created
	HardState      voter.HardState
	Snapshot       voter.Snapshot
	Entries        []voter.Entry // after the snapshot
}

// File is a file that a Journal writes. WithFileWrapper can replace it, for example to
// inject failures.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Journal writes the log and the snapshot of one data folder. It is not safe for concurrent
// use.
type Journal struct {
	folder      string
	log         File
	writeErr    error // error of the first failed write or sync; every later one is refused
	logSize     int64 // bytes
	wrapFile    func(File) File
	newIdentity string // identity for a new data folder; "" means random
}

// Option sets a property of a Journal.
type Option func(*Journal)

// WithFileWrapper sets a function whose result is used in place of every file that the
// journal opens for writing, for example to inject failures.
func WithFileWrapper(wrap func(File) File) Option {
	return func(j *Journal) { j.wrapFile = wrap }
}

// WithIdentity sets the identity of a new data folder. The default is a random identity.
func WithIdentity(id string) Option {
	return func(j *Journal) { j.newIdentity = id }
}

// IsEmptyFolder reports whether a data folder has no identity yet.
func IsEmptyFolder(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, IdentityFile))
	return os.IsNotExist(err)
}

// HoldsOnlyIdentity reports whether a data folder holds the given identity and neither a snapshot
// nor a log record: its voter has never sent a message.
func HoldsOnlyIdentity(folder, identity string) bool {
	b, err := os.ReadFile(filepath.Join(folder, IdentityFile))
	if err != nil || string(b) != identity {
		return false
	}
	if _, err := os.Stat(filepath.Join(folder, SnapshotFile)); !os.IsNotExist(err) {
		return false
	}
	log, err := os.Stat(filepath.Join(folder, LogFile))
	return err == nil && log.Size() == 0
}

// Open reads the data folder, creating it if needed, and returns the stored state and a
// journal that continues from it. It returns a *CorruptionError when the content is not
// consistent.
func Open(folder string, opts ...Option) (*Journal, State, error) {
	j := &Journal{folder: folder, wrapFile: func(f File) File { return f }}
	for _, o := range opts {
		o(j)
	}
	var s State
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, s, eris.Wrap(err, "create data folder")
	}
	if err := j.readIdentity(&s); err != nil {
		return nil, s, err
	}
	if err := j.readSnapshot(&s); err != nil {
		return nil, s, err
	}
	if err := j.readLog(&s); err != nil {
		return nil, s, err
	}
	return j, s, nil
}

// readIdentity reads the identity of the data folder, or creates one.
func (j *Journal) readIdentity(s *State) error {
	path := filepath.Join(j.folder, IdentityFile)
	b, err := os.ReadFile(path)
	if err == nil && len(b) == 0 {
		return &CorruptionError{File: path, Advice: recoveryAdvice}
	}
	if err == nil {
		s.Identity = string(b)
		return nil
	}
	if !os.IsNotExist(err) {
		return eris.Wrap(err, "read identity")
	}
	s.FolderWasEmpty = true
	s.Identity = j.newIdentity
	if s.Identity == "" {
		s.Identity = randomIdentity()
	}
	// The log is created first: a folder with an identity but no log counts as corrupt, and
	// power may be lost between the two steps.
	if err := j.createLog(); err != nil {
		return err
	}
	return j.replaceFile(IdentityFile, []byte(s.Identity))
}

// createLog creates an empty log in a folder that has no identity yet.
func (j *Journal) createLog() error {
	f, err := os.OpenFile(filepath.Join(j.folder, LogFile), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrap(err, "create log")
	}
	if err := errors.Join(f.Sync(), f.Close(), syncFolder(j.folder)); err != nil {
		return eris.Wrap(err, "sync log")
	}
	return nil
}

// randomIdentity returns 48 random bits in hexadecimal form.
func randomIdentity() string {
	var b [6]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func (j *Journal) readSnapshot(s *State) error {
	path := filepath.Join(j.folder, SnapshotFile)
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read snapshot")
	}
	payload, n, valid := decodeRecord(b)
	if !valid || n != len(b) {
		return &CorruptionError{File: path, Advice: recoveryAdvice}
	}
	if err := cbor.Unmarshal(payload, &s.Snapshot); err != nil {
		return &CorruptionError{File: path, Advice: recoveryAdvice}
	}
	return nil
}

// decodeRecord returns the payload of the first record of b and the size of the record with
// its header. The third result is false when b ends early or the checksum does not match.
func decodeRecord(b []byte) ([]byte, int, bool) {
	if len(b) < headerSize {
		return nil, len(b), false
	}
	length := int(binary.BigEndian.Uint32(b))
	if length > maxPayloadSize || headerSize+length > len(b) {
		return nil, len(b), false
	}
	payload := b[headerSize : headerSize+length]
	sum := binary.BigEndian.Uint32(b[4:])
	return payload, headerSize + length, crc32.Checksum(payload, castagnoliTable) == sum
}

// encodeRecord returns the payload after a header with its length and checksum.
func encodeRecord(payload []byte) []byte {
	b := make([]byte, 0, headerSize+len(payload))
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoliTable))
	return append(b, payload...)
}

// encodeLog returns the records that hold the hard state, unless it is nil, and the entries.
// What does not fit in one record is split. The hard state comes last, because it may say that
// the entries are committed. The error is a *RecordSizeError if an entry does not fit.
func encodeLog(hardState *voter.HardState, entries []voter.Entry) ([]byte, error) {
	payload, err := cbor.Marshal(record{HardState: hardState, Entries: entries})
	if err != nil {
		return nil, eris.Wrap(err, "encode log record")
	}
	if len(payload) <= maxPayloadSize {
		return encodeRecord(payload), nil
	}
	if len(entries) <= 1 {
		return nil, &RecordSizeError{Size: len(payload), Limit: maxPayloadSize}
	}
	first, err := encodeLog(nil, entries[:len(entries)/2])
	if err != nil {
		return nil, err
	}
	rest, err := encodeLog(hardState, entries[len(entries)/2:])
	return append(first, rest...), err
}

// readLog replays the log, truncates a torn tail and opens the log for appending.
func (j *Journal) readLog(s *State) error {
	path := filepath.Join(j.folder, LogFile)
	b, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "read log")
	}
	if os.IsNotExist(err) && !s.FolderWasEmpty {
		return &CorruptionError{File: path, Advice: recoveryAdvice}
	}
	validSize, err := replay(path, b, s)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	if err := f.Truncate(validSize); err != nil {
		return eris.Wrap(errors.Join(err, f.Close()), "truncate torn tail")
	}
	if _, err := f.Seek(validSize, io.SeekStart); err != nil {
		return eris.Wrap(errors.Join(err, f.Close()), "seek in log")
	}
	w := j.wrapFile(f)
	if err := errors.Join(w.Sync(), syncFolder(j.folder)); err != nil {
		return eris.Wrap(errors.Join(err, w.Close()), "sync log")
	}
	j.log = w
	j.logSize = validSize
	return nil
}

// replay applies the records of b to s and returns the size of the valid prefix in bytes. An
// invalid last record comes from a crash during a write that was never acknowledged; an
// invalid record that is followed by a valid one, or that is whole but too long, is corruption.
func replay(path string, b []byte, s *State) (int64, error) {
	at := 0
	for at < len(b) {
		payload, n, valid := decodeRecord(b[at:])
		if !valid && (isOversizeRecord(b[at:]) || containsValidRecord(b[at+1:])) {
			return 0, &CorruptionError{File: path, Offset: int64(at), Advice: recoveryAdvice}
		}
		if !valid {
			return int64(at), nil
		}
		var r record
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return 0, &CorruptionError{File: path, Offset: int64(at), Advice: recoveryAdvice}
		}
		if !s.apply(r) {
			return 0, &CorruptionError{File: path, Offset: int64(at), Advice: recoveryAdvice}
		}
		at += n
	}
	return int64(at), nil
}

// isOversizeRecord reports whether b begins with a whole record whose payload is longer than
// maxPayloadSize.
func isOversizeRecord(b []byte) bool {
	if len(b) < headerSize {
		return false
	}
	length := int(binary.BigEndian.Uint32(b))
	if length <= maxPayloadSize || headerSize+length > len(b) {
		return false
	}
	return crc32.Checksum(b[headerSize:headerSize+length], castagnoliTable) == binary.BigEndian.Uint32(b[4:])
}

// containsValidRecord reports whether a valid record begins anywhere in b. A corrupt length
// makes all that follows look like one torn record; this check tells the two cases apart.
func containsValidRecord(b []byte) bool {
	for at := range b {
		payload, _, valid := decodeRecord(b[at:])
		if valid && len(payload) > 0 {
			return true
		}
	}
	return false
}

// apply applies one record to the state. It returns false when the entries leave a gap.
func (s *State) apply(r record) bool {
	if r.HardState != nil {
		s.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		if e.Index <= s.Snapshot.Index {
			continue
		}
		keptCount := e.Index - s.Snapshot.Index - 1
		if keptCount > uint64(len(s.Entries)) {
			return false
		}
		s.Entries = append(s.Entries[:keptCount], e)
	}
	return true
}

// LogSize returns the size of the log file in bytes.
func (j *Journal) LogSize() int64 {
	return j.logSize
}

// Save appends the hard state, unless it is nil, and the entries to the log and syncs the
// log. When Save returns nil, both are durable. Save returns a *RecordSizeError, and writes
// nothing, if an entry does not fit in a record. After a failed write, Save and Compact return
// a *StoppedError.
func (j *Journal) Save(hardState *voter.HardState, entries []voter.Entry) error {
	if j.writeErr != nil {
		return &StoppedError{Err: j.writeErr}
	}
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	content, err := encodeLog(hardState, entries)
	if err != nil {
		return err
	}
	n, err := j.log.Write(content)
	j.logSize += int64(n)
	if err == nil {
		err = j.log.Sync()
	}
	if err != nil {
		j.writeErr = err
		return &StoppedError{Err: err}
	}
	return nil
}

// Compact makes a snapshot durable and replaces the log by a new one that holds the hard
// state and the entries after the snapshot. After a failed write, Save and Compact return
// a *StoppedError.
func (j *Journal) Compact(snapshot voter.Snapshot, hardState voter.HardState, entries []voter.Entry) error {
	if j.writeErr != nil {
		return &StoppedError{Err: j.writeErr}
	}
	if err := j.compact(snapshot, hardState, entries); err != nil {
		j.writeErr = err
		return &StoppedError{Err: err}
	}
	return nil
}

func (j *Journal) compact(snapshot voter.Snapshot, hardState voter.HardState, entries []voter.Entry) error {
	snapshotPayload, err := cbor.Marshal(snapshot)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	if len(snapshotPayload) > maxPayloadSize {
		return &RecordSizeError{Size: len(snapshotPayload), Limit: maxPayloadSize}
	}
	content, err := encodeLog(&hardState, entries)
	if err != nil {
		return err
	}
	if err := j.replaceFile(SnapshotFile, encodeRecord(snapshotPayload)); err != nil {
		return err
	}
	if err := j.replaceFile(LogFile, content); err != nil {
		return err
	}
	if err := j.log.Close(); err != nil {
		return eris.Wrap(err, "close old log")
	}
	f, err := os.OpenFile(filepath.Join(j.folder, LogFile), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(err, "open new log")
	}
	j.log = j.wrapFile(f)
	j.logSize = int64(len(content))
	return nil
}

// replaceFile replaces a file in the data folder atomically, through wrapFile.
func (j *Journal) replaceFile(name string, content []byte) error {
	return writeFileAtomically(j.folder, name, content, func(path string) (File, error) {
		f, err := openTemporaryFile(path)
		if err != nil {
			return nil, err
		}
		return j.wrapFile(f), nil
	})
}

func openTemporaryFile(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// writeFileAtomically writes content to a temporary file, syncs the file, renames it to name and
// syncs the folder. After a crash the file has either its old content or the new one.
func writeFileAtomically(folder, name string, content []byte, open func(path string) (File, error)) error {
	path := filepath.Join(folder, name)
	w, err := open(path + temporarySuffix)
	if err != nil {
		return eris.Wrap(err, "create "+name)
	}
	_, err = w.Write(content)
	err = errors.Join(err, w.Sync(), w.Close())
	if err != nil {
		return eris.Wrap(err, "write "+name)
	}
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return eris.Wrap(err, "rename "+name)
	}
	return syncFolder(folder)
}

// syncFolder makes created and renamed files in the folder durable.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}
	return errors.Join(d.Sync(), d.Close())
}

// Close closes the log file.
func (j *Journal) Close() error {
	return j.log.Close()
}
