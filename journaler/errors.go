package journaler

import "strconv"

// CorruptionError reports a data folder whose content cannot be what was written. The
// process must not take part with it: it could have forgotten a vote or an entry
// that others count on.
type CorruptionError struct {
	File   string
	Offset int64
	Advice string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return "damaged file " + e.File + " at byte " + strconv.FormatInt(e.Offset, 10) + ": " + e.Advice
}

// StoppedError is returned by every call after a write or sync has failed: what
// is on the disk is not known any more.
type StoppedError struct {
	Err error
}

// Error implements error.
func (e *StoppedError) Error() string {
	return "journal stopped after a failed write: " + e.Err.Error()
}

// Unwrap returns the failure.
func (e *StoppedError) Unwrap() error {
	return e.Err
}

const damageAdvice = "remove the data folder and start the instance again without -first-start; it comes back as a new voter"
