package checker

import (
	"cmp"
	"strconv"
	"strings"

	"almondpick/planner"
)

// Severity says whether a finding keeps a configuration from being accepted.
type Severity uint8

// The severities, the highest last.
const (
	None    Severity = iota
	Warning          // accepted, but probably not what was meant
	Error            // refused by the operator door
)

// String returns the name of the severity.
func (s Severity) String() string {
	switch s {
	case Error:
		return "error"
	case Warning:
		return "warning"
	default:
		return "none"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Code is the kind of a finding. Operators' tools match on it.
type Code string

// Codes of errors.
const (
	Unreadable     Code = "unreadable"      // no JSON document of a configuration
	BadField       Code = "bad-field"       // a field cannot be decoded
	OutOfRange     Code = "out-of-range"    // a number or time is out of range
	BadAddress     Code = "bad-address"     // an address is not valid, or another route has it
	BadName        Code = "bad-name"        // the name of a service is missing, or another has it
	NoService      Code = "no-service"      // a route has no service
	UnknownService Code = "unknown-service" // a route has a service that the document does not have
	BadWeight      Code = "bad-weight"      // a weight is out of range, or all are 0
)

// Codes of warnings.
const (
	NeverMatches          Code = "never-matches"           // no packet has the address of the route
	SplitIgnored          Code = "split-ignored"           // a route has a service and a split
	ShareWithoutFlows     Code = "share-without-flows"     // the weight of an entry of a split is 0
	UnusedService         Code = "unused-service"          // no route sends flows to the service
	TimeoutBelowObjective Code = "timeout-below-objective" // callers give up before the objective
	TimeoutBelowWait      Code = "timeout-below-wait"      // callers give up while a SYN may still wait
	IdleBelowTimeout      Code = "idle-below-timeout"      // flows may be dropped while callers wait
	TooFewConnections     Code = "too-few-connections"     // fewer connections than a target has slots
	VersionNotHigher      Code = "version-not-higher"      // acknowledged, but without effect
)

// Finding is an error or a warning about a configuration, with its place.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Line     int      `json:"line,omitempty"`    // from 1; 0 if not known
	Column   int      `json:"column,omitempty"`  // in bytes, from 1
	Field    string   `json:"field,omitempty"`   // path in the document
	Route    string   `json:"route,omitempty"`   // name of the route, if any
	Service  string   `json:"service,omitempty"` // name of the service, if any
	Text     string   `json:"text"`

	offset int64 // in the text
}

// String returns the finding as one line.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(strconv.Itoa(f.Line) + ":" + strconv.Itoa(f.Column) + ": " + f.Severity.String() + " " + string(f.Code) + ": ")
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	if f.Route != "" {
		b.WriteString("route " + f.Route + ": ")
	}
	if f.Service != "" {
		b.WriteString("service " + f.Service + ": ")
	}
	b.WriteString(f.Text)
	return b.String()
}

// compare orders findings by their place in the text.
func (f Finding) compare(other Finding) int { return cmp.Compare(f.offset, other.offset) }

// violationText returns a refusal of the operator door without its field, which has the name of the
// ruleset's field rather than that of the document's.
func violationText(r *planner.Refusal) string {
	return strconv.Quote(r.Value) + "; allowed: " + r.Allowed
}
