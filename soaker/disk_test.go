package soaker

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"almondpick/journaler"
	"almondpick/voter"
)

// TestAFullDiskStopsTheJournalUntilItIsOpenedAgain checks that the journal refuses all
// writes after a failed one, because the content of the file is unknown from then on.
func TestAFullDiskStopsTheJournalUntilItIsOpenedAgain(t *testing.T) {
	is := is.New(t)
	control := filepath.Join(t.TempDir(), "disk-fault")
	folder := t.TempDir()
	open := func() *journaler.Journal {
		j, _, err := journaler.Open(folder, journaler.WithFileWrapper(NewDiskFaultInjector(control).Wrap))
		is.NoErr(err)
		return j
	}
	entry := []voter.Entry{{Index: 1, Term: 1, Data: []byte("order")}}
	j := open()
	is.NoErr(os.WriteFile(control, []byte(diskFull), 0o600))
	is.True(errors.Is(j.Save(nil, entry), syscall.ENOSPC))
	is.NoErr(os.Remove(control))
	var stopped *journaler.StoppedError
	is.True(errors.As(j.Save(nil, entry), &stopped)) // although the disk has space again
	is.NoErr(j.Close())
	j = open()
	is.NoErr(j.Save(nil, entry))
	is.NoErr(j.Close())
}
