package gossiper

import "strconv"

// FieldError reports a field of a message or record that is out of range. Value is the number
// or the length of the field; it is not set if Err is.
type FieldError struct {
	Field string
	Value int
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Err != nil {
		return "gossip field " + e.Field + ": " + e.Err.Error()
	}
	return "gossip field " + e.Field + " is out of range: " + strconv.Itoa(e.Value)
}

// Unwrap returns Err.
func (e *FieldError) Unwrap() error {
	return e.Err
}
