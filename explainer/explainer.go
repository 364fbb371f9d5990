// Package explainer collects from the logs of several instances what concerns one flow: the
// decisions about its packets, and the changes, around that time, in the state of its
// targets and of the instances that made the decisions, as these instances logged them.
package explainer

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ContextWindow is the time before the first and after the last decision about a flow from
// which other log lines are included.
const ContextWindow = 10 * time.Second

// maxLineLength exceeds the length of any line that an instance writes. ReadLog
// fails at a longer line.
const maxLineLength = 1 << 20 // bytes

// Values in log lines about evacuations.
const (
	evacuationMessage = "evacuation" // logged when an evacuation begins or ends for the instance
	evacuatedReason   = "evacuated"  // of a decision that an evacuation caused
)

// instanceStateMessages are the messages that an instance logs about its own state.
var instanceStateMessages = []string{
	"started", "stopping", "stopped", "ready", "isolated", "caught-up", "caught-up-in-part",
	"stores-lost", "stores-regained", "configuration-in-force", "log-dropped", "out-of-rotation", evacuationMessage,
}

// Line is one line of a log.
type Line struct {
	Source string // name of the log that the line is from
	Time   time.Time
	Text   string
	fields map[string]string
}

// UnknownCallerError reports that no log has a line about a flow of the caller.
type UnknownCallerError struct {
	Caller string
}

// Error implements error.
func (e *UnknownCallerError) Error() string {
	return "no log has a line with caller=" + e.Caller
}

// ReadLog returns the lines of a log, without those that have no valid time field. It
// returns an error of the reader, or one for a line longer than maxLineLength.
func ReadLog(source string, r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLineLength/16), maxLineLength)
	for s.Scan() {
		fields := parseFields(s.Text())
		timestamp, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			continue // a line of another program
		}
		lines = append(lines, Line{Source: source, Time: timestamp, Text: s.Text(), fields: fields})
	}
	return lines, eris.Wrap(s.Err(), "read "+source)
}

// parseFields returns the fields of a line of key=value pairs. Values with spaces are quoted.
func parseFields(text string) map[string]string {
	fields := make(map[string]string)
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			break
		}
		key = key[strings.LastIndexByte(key, ' ')+1:]
		var value string
		if strings.HasPrefix(rest, `"`) {
			value, rest = cutQuotedValue(rest[1:])
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		fields[key] = value
		text = rest
	}
	return fields
}

// cutQuotedValue returns the text before the closing quote, with escapes left as they are,
// and the text after it. The opening quote must have been removed.
func cutQuotedValue(text string) (value, rest string) {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return text[:i], text[i+1:]
		}
	}
	return text, ""
}

// FlowTimeline returns the log lines that concern the flows of a caller, sorted by time.
// caller is an address with a port. FlowTimeline returns an *UnknownCallerError if there
// are no such lines.
func FlowTimeline(lines []Line, caller string) ([]Line, error) {
	var out []Line
	sources, targetIDs := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.fields["caller"] != caller {
			continue
		}
		out = append(out, l)
		sources[l.Source] = true
		if id := l.fields["identity"]; id != "" {
			targetIDs[id] = true
		}
	}
	if len(out) == 0 {
		return nil, &UnknownCallerError{Caller: caller}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	from, to := slices.MinFunc(out, byTime).Time.Add(-ContextWindow), slices.MaxFunc(out, byTime).Time.Add(ContextWindow)
	for _, l := range lines {
		inWindow := !l.Time.Before(from) && !l.Time.After(to)
		if inWindow && l.fields["caller"] == "" && sources[l.Source] && l.isRelevant(targetIDs) {
			out = append(out, l)
		}
	}
	out = append(out, evacuationsBefore(from, lines, out)...)
	slices.SortStableFunc(out, byTime)
	return out, nil
}

// evacuationsBefore returns the lines about the evacuations that were in force at a time, of the
// instances that refused a flow because of one. Such a line may be older than ContextWindow.
func evacuationsBefore(at time.Time, lines, decisions []Line) []Line {
	refusedBy := make(map[string]bool)
	for _, l := range decisions {
		if l.fields["reason"] == evacuatedReason {
			refusedBy[l.Source] = true
		}
	}
	type place struct{ source, dataCentre string }
	last := make(map[place]Line)
	for _, l := range lines {
		key := place{l.Source, l.fields["data-centre"]}
		if refusedBy[l.Source] && l.fields["msg"] == evacuationMessage && l.Time.Before(at) && !l.Time.Before(last[key].Time) {
			last[key] = l
		}
	}
	var out []Line
	for _, l := range last {
		if l.fields["in-force"] == "true" {
			out = append(out, l)
		}
	}
	return out
}

// isRelevant reports whether a line is about one of the targets, given by the value of the
// identity field, or about the state of the instance that logged it.
func (l Line) isRelevant(targetIDs map[string]bool) bool {
	return targetIDs[l.fields["identity"]] || slices.Contains(instanceStateMessages, l.fields["msg"])
}
