package journaler

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// CacheFile is the file of the data folder that holds soft state: what others would
// tell again after a restart, only later.
const CacheFile = "cache"

// SaveCache replaces the content of the cache file of a data folder. It does not touch
// the log and may be called from any goroutine, one call at a time.
func SaveCache(folder string, content []byte) error {
	return replaceFile(folder, CacheFile, frame(content), openTemporary)
}

// LoadCache returns what was last saved, or nil where there is nothing. It returns a
// *DamageError when the file was torn; the state has to be learnt again then.
func LoadCache(folder string) ([]byte, error) {
	path := filepath.Join(folder, CacheFile)
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read cache")
	}
	payload, n, whole := cut(b)
	if !whole || n != len(b) {
		return nil, &CorruptionError{File: path, Advice: "it is left out; nothing is lost"}
	}
	return payload, nil
}
