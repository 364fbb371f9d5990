// Package explainer puts together what the logs of several instances say of one flow: the
// decisions about its packets, and what the instances that took them came to believe of
// its targets and of themselves around that time.
package explainer

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Around is how long before the first and after the last decision about a flow other lines
// may explain it.
const ContextWindow = 10 * time.Second

// lineLimit is longer than any line that an instance writes.
const lineLimit = 1 << 20 // bytes

// aboutItself are the lines that an instance writes about its own state.
var aboutItself = []string{
	"started", "stopping", "stopped", "ready", "isolated", "caught-up", "caught-up-in-part",
	"stores-lost", "stores-regained", "configuration-in-force", "log-dropped", "out-of-rotation",
}

// Line is one line of a log.
type Line struct {
	Source string // the log that it is from
	Time   time.Time
	Text   string
	fields map[string]string
}

// NoLineError reports a flow that no log knows.
type UnknownCallerError struct {
	Caller string
}

// Error implements error.
func (e *UnknownCallerError) Error() string {
	return "no log has a line with caller=" + e.Caller
}

// Read returns the lines of a log that have a time. It returns an error of the reader.
func ReadLog(source string, r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, lineLimit/16), lineLimit)
	for s.Scan() {
		fields := parse(s.Text())
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			continue // another program's line
		}
		lines = append(lines, Line{Source: source, Time: at, Text: s.Text(), fields: fields})
	}
	return lines, eris.Wrap(s.Err(), "read "+source)
}

// parse returns the fields of a key=value line. Values with spaces stand in quotes.
func parse(text string) map[string]string {
	fields := make(map[string]string)
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			break
		}
		key = key[strings.LastIndexByte(key, ' ')+1:]
		var value string
		if strings.HasPrefix(rest, `"`) {
			value, rest = quoted(rest[1:])
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		fields[key] = value
		text = rest
	}
	return fields
}

// quoted returns the text up to the closing quote, and what follows that.
func quoted(text string) (value, rest string) {
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

// Explain returns, in the order of their times, the lines that tell what became of the
// flows of a caller, given by address and port. It returns a *NoLineError.
func FlowTimeline(lines []Line, caller string) ([]Line, error) {
	var out []Line
	sources, targets := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.fields["caller"] != caller {
			continue
		}
		out = append(out, l)
		sources[l.Source] = true
		if id := l.fields["identity"]; id != "" {
			targets[id] = true
		}
	}
	if len(out) == 0 {
		return nil, &UnknownCallerError{Caller: caller}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	from, to := slices.MinFunc(out, byTime).Time.Add(-ContextWindow), slices.MaxFunc(out, byTime).Time.Add(ContextWindow)
	for _, l := range lines {
		near := !l.Time.Before(from) && !l.Time.After(to)
		if near && l.fields["caller"] == "" && sources[l.Source] && l.explains(targets) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out, nil
}

// explains tells whether a line is about one of the targets, or the instance's own state.
func (l Line) explains(targets map[string]bool) bool {
	return targets[l.fields["identity"]] || slices.Contains(aboutItself, l.fields["msg"])
}
