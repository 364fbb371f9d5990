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

// written returns a folder with five entries in four records.
func written(t *testing.T) string {
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
	j, s, err := Open(written(t))
	is.NoErr(err)
	defer j.Close()
	is.Equal(s.HardState, voter.HardState{Term: 2, Vote: "b", Commit: 3})
	is.Equal(len(s.Entries), 5)
	is.True(!s.FolderWasEmpty)
}

func TestTornTailIsCutAtEveryByte(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(written(t), LogFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for n := range whole {
		is.NoErr(os.WriteFile(path, whole[:n], 0o600))
		j, s, err := Open(filepath.Dir(path))
		is.NoErr(err) // a prefix is what a crash leaves
		is.True(len(s.Entries) <= 5)
		is.NoErr(j.Close())
	}
}

func TestDamageBeforeTheTailIsRefused(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(written(t), LogFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	_, first, _ := cut(whole)
	for at := range first {
		b := append([]byte(nil), whole...)
		b[at] ^= 0x40 // a length, a checksum or a byte of the payload
		is.NoErr(os.WriteFile(path, b, 0o600))
		_, _, err := Open(filepath.Dir(path))
		var damage *CorruptionError
		is.True(errors.As(err, &damage))
	}
}

func TestLostLogIsRefused(t *testing.T) {
	is := is.New(t)
	folder := written(t)
	is.NoErr(os.Remove(filepath.Join(folder, LogFile)))
	_, _, err := Open(folder)
	var damage *CorruptionError
	is.True(errors.As(err, &damage))
}

func TestCompactKeepsWhatFollows(t *testing.T) {
	is := is.New(t)
	folder := written(t)
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

// failing is a file that is full or cannot sync.
type failing struct {
	File
	writes, syncs bool
}

func (f failing) Write(b []byte) (int, error) {
	if f.writes {
		return 0, errFull
	}
	return f.File.Write(b)
}

func (f failing) Sync() error {
	if f.syncs {
		return errFull
	}
	return f.File.Sync()
}

func TestFailureStopsTheJournalForGood(t *testing.T) {
	for _, bad := range []failing{{writes: true}, {syncs: true}} {
		is := is.New(t)
		broken := false
		j, _, err := Open(t.TempDir(), WithFileWrapper(func(f File) File {
			if broken {
				return failing{File: f, writes: bad.writes, syncs: bad.syncs}
			}
			return f
		}))
		is.NoErr(err)
		j.log = failing{File: j.log, writes: bad.writes, syncs: bad.syncs}
		broken = true
		var stopped *StoppedError
		is.True(errors.As(j.Save(&voter.HardState{Term: 3}, nil), &stopped))
		j.log = j.log.(failing).File // the disk works again, but what it holds is not known
		is.True(errors.As(j.Save(&voter.HardState{Term: 3}, nil), &stopped))
		is.True(errors.Is(stopped, errFull))
	}
}

// Power may be lost at any point while a folder is first made. What is left behind is
// a fresh folder or a usable one.
func TestFolderWhoseMakingWasCutShort(t *testing.T) {
	for _, left := range [][]string{{}, {LogFile}, {LogFile, IdentityFile + temporary}, {LogFile, IdentityFile}} {
		is := is.New(t)
		folder := t.TempDir()
		j, _, err := Open(folder, WithIdentity("first"))
		is.NoErr(err)
		is.NoErr(j.Close())
		is.NoErr(os.WriteFile(filepath.Join(folder, IdentityFile+temporary), nil, 0o600))
		for _, name := range []string{LogFile, IdentityFile, IdentityFile + temporary} {
			if !slices.Contains(left, name) {
				is.NoErr(os.Remove(filepath.Join(folder, name)))
			}
		}
		j, s, err := Open(folder, WithIdentity("second"))
		is.NoErr(err)
		is.Equal(s.FolderWasEmpty, !slices.Contains(left, IdentityFile))
		is.NoErr(j.Save(&voter.HardState{Term: 1}, nil))
		is.NoErr(j.Close())
	}
}

// The identity is made durable last, so a folder that has one also has a log.
func TestIdentityComesAfterTheLog(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	_, _, err := Open(folder, WithFileWrapper(func(f File) File { return failing{File: f, syncs: true} }))
	is.True(err != nil)
	_, err = os.Stat(filepath.Join(folder, LogFile))
	is.NoErr(err)
	is.True(IsEmptyFolder(folder))
}
