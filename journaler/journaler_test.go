package journaler

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"almondpick/voter"
)

func entry(index, term uint64) voter.Entry {
	return voter.Entry{Index: index, Term: term, Data: []byte("command")}
}

// writtenFolder returns a data folder whose log has five entries in four records.
func writtenFolder(t *testing.T) string {
	is := is.New(t)
	folder := t.TempDir()
	j, s, err := Open(folder)
	is.NoErr(err)
	is.True(s.FolderWasEmpty)
	is.NoErr(j.Save(&voter.HardState{Term: 1, Vote: "a"}, nil))
	is.NoErr(j.Save(nil, []voter.Entry{entry(1, 1), entry(2, 1)}))
	is.NoErr(j.Save(nil, []voter.Entry{entry(3, 1)}))
	is.NoErr(j.Save(&voter.HardState{Term: 2, Vote: "b", Commit: 3}, []voter.Entry{entry(4, 2), entry(5, 2)}))
	is.NoErr(j.Close())
	return folder
}

func TestReopenKeepsEverything(t *testing.T) {
	is := is.New(t)
	j, s, err := Open(writtenFolder(t))
	is.NoErr(err)
	defer j.Close()
	is.Equal(s.HardState, voter.HardState{Term: 2, Vote: "b", Commit: 3})
	is.Equal(len(s.Entries), 5)
	is.True(!s.FolderWasEmpty)
}

func TestTornTailIsTruncatedAtEveryByte(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(writtenFolder(t), LogFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for n := range whole {
		is.NoErr(os.WriteFile(path, whole[:n], 0o600))
		j, s, err := Open(filepath.Dir(path))
		is.NoErr(err) // a crash leaves a prefix of the log
		is.True(len(s.Entries) <= 5)
		is.NoErr(j.Close())
	}
}

func TestCorruptionBeforeTheTailIsRefused(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(writtenFolder(t), LogFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	_, firstSize, _ := decodeRecord(whole)
	for at := range firstSize {
		b := append([]byte(nil), whole...)
		b[at] ^= 0x40 // corrupts the length, the checksum or the payload
		is.NoErr(os.WriteFile(path, b, 0o600))
		_, _, err := Open(filepath.Dir(path))
		var corruption *CorruptionError
		is.True(errors.As(err, &corruption))
	}
}

func TestMissingLogIsRefused(t *testing.T) {
	is := is.New(t)
	folder := writtenFolder(t)
	is.NoErr(os.Remove(filepath.Join(folder, LogFile)))
	_, _, err := Open(folder)
	var corruption *CorruptionError
	is.True(errors.As(err, &corruption))
}

func TestCompactKeepsLaterEntries(t *testing.T) {
	is := is.New(t)
	folder := writtenFolder(t)
	j, s, err := Open(folder)
	is.NoErr(err)
	snap := voter.Snapshot{Index: 3, Term: 1, Data: []byte("state")}
	is.NoErr(j.Compact(snap, s.HardState, s.Entries[3:]))
	is.NoErr(j.Save(nil, []voter.Entry{entry(6, 2)}))
	is.NoErr(j.Close())
	j, s, err = Open(folder)
	is.NoErr(err)
	defer j.Close()
	is.Equal(s.Snapshot.Index, uint64(3))
	is.Equal(len(s.Entries), 3)
	is.Equal(s.HardState.Vote, voter.ID("b"))
}

var errFull = errors.New("no space left")

// failingFile is a file whose writes or syncs fail.
type failingFile struct {
	File
	failWrites, failSyncs bool
}

func (f failingFile) Write(b []byte) (int, error) {
	if f.failWrites {
		return 0, errFull
	}
	return f.File.Write(b)
}

func (f failingFile) Sync() error {
	if f.failSyncs {
		return errFull
	}
	return f.File.Sync()
}

func TestWriteFailureStopsTheJournal(t *testing.T) {
	for _, failure := range []failingFile{{failWrites: true}, {failSyncs: true}} {
		is := is.New(t)
		injectFailure := false
		j, _, err := Open(t.TempDir(), WithFileWrapper(func(f File) File {
			if injectFailure {
				return failingFile{File: f, failWrites: failure.failWrites, failSyncs: failure.failSyncs}
			}
			return f
		}))
		is.NoErr(err)
		j.log = failingFile{File: j.log, failWrites: failure.failWrites, failSyncs: failure.failSyncs}
		injectFailure = true
		var stopped *StoppedError
		is.True(errors.As(j.Save(&voter.HardState{Term: 3}, nil), &stopped))
		j.log = j.log.(failingFile).File // writes succeed again, but the content of the disk is unknown
		is.True(errors.As(j.Save(&voter.HardState{Term: 3}, nil), &stopped))
		is.True(errors.Is(stopped, errFull))
	}
}

// Power may be lost at any point while a data folder is created. The next Open must succeed,
// with a new identity if none was stored.
func TestFolderCreationInterruptedByPowerLoss(t *testing.T) {
	for _, remainingFiles := range [][]string{{}, {LogFile}, {LogFile, IdentityFile + temporarySuffix}, {LogFile, IdentityFile}} {
		is := is.New(t)
		folder := t.TempDir()
		j, _, err := Open(folder, WithIdentity("first"))
		is.NoErr(err)
		is.NoErr(j.Close())
		is.NoErr(os.WriteFile(filepath.Join(folder, IdentityFile+temporarySuffix), nil, 0o600))
		for _, name := range []string{LogFile, IdentityFile, IdentityFile + temporarySuffix} {
			if !slices.Contains(remainingFiles, name) {
				is.NoErr(os.Remove(filepath.Join(folder, name)))
			}
		}
		j, s, err := Open(folder, WithIdentity("second"))
		is.NoErr(err)
		is.Equal(s.FolderWasEmpty, !slices.Contains(remainingFiles, IdentityFile))
		is.NoErr(j.Save(&voter.HardState{Term: 1}, nil))
		is.NoErr(j.Close())
	}
}

// The identity is made durable last, so that a folder with an identity also has a log.
func TestLogIsCreatedBeforeTheIdentity(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	_, _, err := Open(folder, WithFileWrapper(func(f File) File { return failingFile{File: f, failSyncs: true} }))
	is.True(err != nil)
	_, err = os.Stat(filepath.Join(folder, LogFile))
	is.NoErr(err)
	is.True(IsEmptyFolder(folder))
}

// A record over the size limit would be taken for a torn tail by the next Open, so it must not
// be acknowledged.
func TestOversizeEntryIsRefusedBeforeItIsWritten(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	j, _, err := Open(folder)
	is.NoErr(err)
	is.NoErr(j.Save(&voter.HardState{Term: 1}, []voter.Entry{entry(1, 1)}))
	large := entry(2, 1)
	large.Data = make([]byte, maxPayloadSize+1)
	var tooLarge *RecordSizeError
	is.True(errors.As(j.Save(nil, []voter.Entry{large}), &tooLarge))
	is.NoErr(j.Save(nil, []voter.Entry{entry(2, 1)})) // the journal goes on
	is.NoErr(j.Close())
	_, state, err := Open(folder)
	is.NoErr(err)
	is.Equal(len(state.Entries), 2)
}

// Entries that together are over the size limit are split among records.
func TestLargeBatchIsReadBack(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	j, _, err := Open(folder)
	is.NoErr(err)
	var batch []voter.Entry
	for n := range uint64(9) {
		e := entry(n+1, 1)
		e.Data = make([]byte, maxPayloadSize/8)
		batch = append(batch, e)
	}
	is.NoErr(j.Save(&voter.HardState{Term: 1, Commit: 9}, batch))
	is.NoErr(j.Close())
	j, state, err := Open(folder)
	is.NoErr(err)
	is.Equal(len(state.Entries), 9)
	is.Equal(state.HardState.Commit, uint64(9))
	is.NoErr(j.Compact(voter.Snapshot{Index: 1, Term: 1}, state.HardState, state.Entries[1:]))
	is.NoErr(j.Close())
	_, state, err = Open(folder)
	is.NoErr(err)
	is.Equal(len(state.Entries), 8)
}

// A whole record over the size limit is no torn tail: an earlier version acknowledged it.
func TestOversizeRecordStopsTheStart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	j, _, err := Open(folder)
	is.NoErr(err)
	is.NoErr(j.Save(nil, []voter.Entry{entry(1, 1)}))
	size := j.LogSize()
	is.NoErr(j.Close())
	path := filepath.Join(folder, LogFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, append(whole, encodeRecord(make([]byte, maxPayloadSize+1))...), 0o600))
	_, _, err = Open(folder)
	var corruption *CorruptionError
	is.True(errors.As(err, &corruption))
	is.Equal(corruption.File, path)
	is.Equal(corruption.Offset, size)
}
