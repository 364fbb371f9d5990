package journaler

import "strconv"

// CorruptionError reports a file in the data folder whose content differs from what was
// written. A voter must not start from a corrupt log or snapshot, because it may have lost
// a vote or an entry that other voters rely on.
type CorruptionError struct {
	File   string
	Offset int64  // of the corrupt record, in bytes; 0 if the whole file is concerned
	Advice string // what the operator can do
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return "corrupt file " + e.File + " at byte " + strconv.FormatInt(e.Offset, 10) + ": " + e.Advice
}

// StoppedError is returned by the Save or Compact that fails to write or sync, and by every
// later one, because the state on disk is unknown after a failed write.
type StoppedError struct {
	Err error
}

// Error implements error.
func (e *StoppedError) Error() string {
	return "journal stopped after a failed write: " + e.Err.Error()
}

// Unwrap returns the error of the failed write.
func (e *StoppedError) Unwrap() error {
	return e.Err
}

// RecordSizeError reports a snapshot or a log entry that does not fit in a record. Nothing has
// been written.
type RecordSizeError struct {
	Size  int // bytes
	Limit int // bytes
}

// Error implements error.
func (e *RecordSizeError) Error() string {
	return "a record of " + strconv.Itoa(e.Size) + " bytes is over the limit of " + strconv.Itoa(e.Limit)
}

const recoveryAdvice = "remove the data folder and start the instance again without -first-start; it comes back as a new voter"
