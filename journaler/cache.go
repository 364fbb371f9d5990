package journaler

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// CacheFile is the file in the data folder that holds soft state. After a restart, this
// instance would receive the same state again from other instances, only later.
const CacheFile = "cache"

// SaveCache replaces the content of the cache file in a data folder. SaveCache does not
// access the log and may be called from any goroutine, but not concurrently with itself.
func SaveCache(folder string, content []byte) error {
	return writeFileAtomically(folder, CacheFile, encodeRecord(content), openTemporaryFile)
}

// LoadCache returns the content that was last saved, or nil if there is no cache file. It
// returns a *CorruptionError for a torn or corrupt file; the soft state must then be collected
// again.
func LoadCache(folder string) ([]byte, error) {
	path := filepath.Join(folder, CacheFile)
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read cache")
	}
	payload, n, valid := decodeRecord(b)
	if !valid || n != len(b) {
		return nil, &CorruptionError{File: path, Advice: "the cache file is ignored; no durable state is lost"}
	}
	return payload, nil
}
