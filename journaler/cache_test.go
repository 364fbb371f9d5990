package journaler

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestCacheReturnsTheLastSave(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	b, err := LoadCache(folder)
	is.NoErr(err)
	is.Equal(b, nil)
	is.NoErr(SaveCache(folder, []byte("first")))
	is.NoErr(SaveCache(folder, []byte("second")))
	b, err = LoadCache(folder)
	is.NoErr(err)
	is.Equal(string(b), "second")
	is.True(IsEmptyFolder(folder)) // a folder that holds only a cache file has no voter yet
}

func TestTornCacheIsReported(t *testing.T) {
	folder := t.TempDir()
	if err := SaveCache(folder, []byte("what was known")); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, CacheFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		is := is.New(t)
		is.NoErr(os.WriteFile(path, whole[:n], 0o600))
		_, err := LoadCache(folder)
		var corruption *CorruptionError
		is.True(errors.As(err, &corruption))
	}
}
