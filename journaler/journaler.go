// Package journaler keeps a voter's hard state, log and snapshot in a data
// folder. Every record has a length and a checksum. A tail that was torn by a
// crash is cut off; any other damage is refused.
//
// The folder holds an identity that is made once, one snapshot at most and one
// log. A snapshot is written beside the old one, synced and renamed; then a new
// log that begins with the present hard state replaces the old log in the same
// way, so a crash at any point leaves a whole state behind.
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
	IdentityFile = "identity"
	SnapshotFile = "snapshot"
	LogFile      = "log"
	temporary    = ".new"
)

const (
	headerSize = 8        // bytes: length, checksum
	maxRecord  = 64 << 20 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is what the log file holds, one field set.
type record struct {
	Hard    *voter.HardState `cbor:"hard,omitempty"`
	Entries []voter.Entry    `cbor:"entries,omitempty"`
}

// State is what a data folder held.
type State struct {
	Identity string
	FolderWasEmpty    bool // the folder was empty
	HardState     voter.HardState
	Snapshot voter.Snapshot
	Entries  []voter.Entry
}

// File is what a Journal writes to.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Journal appends to the log of one data folder. It belongs to one goroutine.
type Journal struct {
	folder string
	log    File
	failed error
	size   int64
	wrap   func(File) File
	first  string
}

// Option sets a property of a Journal.
type Option func(*Journal)

// WithFileWrapper has every file of the log replaced by what wrap returns for it, such as one
// that fails.
func WithFileWrapper(wrap func(File) File) Option {
	return func(j *Journal) { j.wrap = wrap }
}

// WithIdentity sets the identity that a new data folder gets, in place of a
// random one.
func WithIdentity(id string) Option {
	return func(j *Journal) { j.first = id }
}

// IsEmptyFolder tells whether a data folder holds nothing yet.
func IsEmptyFolder(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, IdentityFile))
	return os.IsNotExist(err)
}

// Open reads the data folder, which it makes if need be, and returns what it held
// and a journal that goes on from there. It returns a *DamageError when the
// content does not hold together.
func Open(folder string, opts ...Option) (*Journal, State, error) {
	j := &Journal{folder: folder, wrap: func(f File) File { return f }}
	for _, o := range opts {
		o(j)
	}
	var s State
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, s, eris.Wrap(err, "make data folder")
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

// readIdentity reads the identity of the disk, or makes one.
func (j *Journal) readIdentity(s *State) error {
	path := filepath.Join(j.folder, IdentityFile)
	b, err := os.ReadFile(path)
	if err == nil && len(b) == 0 {
		return &CorruptionError{File: path, Advice: damageAdvice}
	}
	if err == nil {
		s.Identity = string(b)
		return nil
	}
	if !os.IsNotExist(err) {
		return eris.Wrap(err, "read identity")
	}
	s.FolderWasEmpty = true
	s.Identity = j.first
	if s.Identity == "" {
		s.Identity = newIdentity()
	}
	// The log goes first: a folder with an identity but no log is a damaged one, and
	// power may be lost between the two.
	if err := j.createLog(); err != nil {
		return err
	}
	return j.replace(IdentityFile, []byte(s.Identity))
}

// createLog makes an empty log in a folder that has no identity yet.
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

func newIdentity() string {
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
	payload, n, whole := cut(b)
	if !whole || n != len(b) {
		return &CorruptionError{File: path, Advice: damageAdvice}
	}
	if err := cbor.Unmarshal(payload, &s.Snapshot); err != nil {
		return &CorruptionError{File: path, Advice: damageAdvice}
	}
	return nil
}

// cut returns the payload of the first record of b and the record's size. whole
// is false when b ends early or the checksum is another one.
func cut(b []byte) ([]byte, int, bool) {
	if len(b) < headerSize {
		return nil, len(b), false
	}
	length := int(binary.BigEndian.Uint32(b))
	if length > maxRecord || headerSize+length > len(b) {
		return nil, len(b), false
	}
	payload := b[headerSize : headerSize+length]
	sum := binary.BigEndian.Uint32(b[4:])
	return payload, headerSize + length, crc32.Checksum(payload, castagnoli) == sum
}

func frame(payload []byte) []byte {
	b := make([]byte, 0, headerSize+len(payload))
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// readLog replays the log and opens it for appending.
func (j *Journal) readLog(s *State) error {
	path := filepath.Join(j.folder, LogFile)
	b, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "read log")
	}
	if os.IsNotExist(err) && !s.FolderWasEmpty {
		return &CorruptionError{File: path, Advice: damageAdvice}
	}
	good, err := replay(path, b, s)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	if err := f.Truncate(good); err != nil {
		return eris.Wrap(errors.Join(err, f.Close()), "cut torn tail")
	}
	if _, err := f.Seek(good, io.SeekStart); err != nil {
		return eris.Wrap(errors.Join(err, f.Close()), "seek in log")
	}
	if err := errors.Join(f.Sync(), syncFolder(j.folder)); err != nil {
		return eris.Wrap(errors.Join(err, f.Close()), "sync log")
	}
	j.log = j.wrap(f)
	j.size = good
	return nil
}

// replay applies the records of b to s and returns how many bytes hold. A last
// record that is not whole is the trace of a crash within a write that nobody was
// told of; one that is followed by others is damage.
func replay(path string, b []byte, s *State) (int64, error) {
	at := 0
	for at < len(b) {
		payload, n, whole := cut(b[at:])
		if !whole && wholeRecordIn(b[at+1:]) {
			return 0, &CorruptionError{File: path, Offset: int64(at), Advice: damageAdvice}
		}
		if !whole {
			return int64(at), nil
		}
		var r record
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return 0, &CorruptionError{File: path, Offset: int64(at), Advice: damageAdvice}
		}
		if !s.apply(r) {
			return 0, &CorruptionError{File: path, Offset: int64(at), Advice: damageAdvice}
		}
		at += n
	}
	return int64(at), nil
}

// wholeRecordIn tells whether a whole record begins anywhere in b. A damaged
// length makes all that follows look like one torn record; this tells them apart.
func wholeRecordIn(b []byte) bool {
	for at := range b {
		payload, _, whole := cut(b[at:])
		if whole && len(payload) > 0 {
			return true
		}
	}
	return false
}

// apply puts one record into the state. It is false when entries leave a gap.
func (s *State) apply(r record) bool {
	if r.Hard != nil {
		s.HardState = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= s.Snapshot.Index {
			continue
		}
		keep := e.Index - s.Snapshot.Index - 1
		if keep > uint64(len(s.Entries)) {
			return false
		}
		s.Entries = append(s.Entries[:keep], e)
	}
	return true
}

// LogSize returns the size of the log, in bytes.
func (j *Journal) LogSize() int64 {
	return j.size
}

// Save appends a hard state, if there is one, and entries, and syncs. When it
// returns nil both are durable. After a failure every call fails.
func (j *Journal) Save(hard *voter.HardState, entries []voter.Entry) error {
	if j.failed != nil {
		return &StoppedError{Err: j.failed}
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	payload, err := cbor.Marshal(record{Hard: hard, Entries: entries})
	if err != nil {
		return eris.Wrap(err, "encode log record")
	}
	n, err := j.log.Write(frame(payload))
	j.size += int64(n)
	if err == nil {
		err = j.log.Sync()
	}
	if err != nil {
		j.failed = err
		return &StoppedError{Err: err}
	}
	return nil
}

// Compact makes a snapshot durable and begins a new log with the hard state and
// the entries that come after the snapshot.
func (j *Journal) Compact(s voter.Snapshot, hard voter.HardState, entries []voter.Entry) error {
	if j.failed != nil {
		return &StoppedError{Err: j.failed}
	}
	if err := j.compact(s, hard, entries); err != nil {
		j.failed = err
		return &StoppedError{Err: err}
	}
	return nil
}

func (j *Journal) compact(s voter.Snapshot, hard voter.HardState, entries []voter.Entry) error {
	snap, err := cbor.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	if err := j.replace(SnapshotFile, frame(snap)); err != nil {
		return err
	}
	first, err := cbor.Marshal(record{Hard: &hard, Entries: entries})
	if err != nil {
		return eris.Wrap(err, "encode log record")
	}
	content := frame(first)
	if err := j.replace(LogFile, content); err != nil {
		return err
	}
	if err := j.log.Close(); err != nil {
		return eris.Wrap(err, "close old log")
	}
	f, err := os.OpenFile(filepath.Join(j.folder, LogFile), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(err, "open new log")
	}
	j.log = j.wrap(f)
	j.size = int64(len(content))
	return nil
}

// replace replaces a file of the data folder as replaceFile does.
func (j *Journal) replace(name string, content []byte) error {
	return replaceFile(j.folder, name, content, func(path string) (File, error) {
		f, err := openTemporary(path)
		if err != nil {
			return nil, err
		}
		return j.wrap(f), nil
	})
}

func openTemporary(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// replaceFile writes a file beside the one of that name, syncs it and puts it in its
// place.
func replaceFile(folder, name string, content []byte, open func(path string) (File, error)) error {
	path := filepath.Join(folder, name)
	w, err := open(path + temporary)
	if err != nil {
		return eris.Wrap(err, "create "+name)
	}
	_, err = w.Write(content)
	err = errors.Join(err, w.Sync(), w.Close())
	if err != nil {
		return eris.Wrap(err, "write "+name)
	}
	if err := os.Rename(path+temporary, path); err != nil {
		return eris.Wrap(err, "rename "+name)
	}
	return syncFolder(folder)
}

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
