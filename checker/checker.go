// Package checker checks a configuration before it is sent: it reports all fields that the
// operator door refuses, settings that have no effect or contradict each other, and what differs
// from the configuration in force. It opens no socket and no file.
package checker

import (
	"slices"

	"almondpick/planner"
)

// Document is a decoded configuration with what is needed to report places in its text.
type Document struct {
	Ruleset planner.Ruleset
	Text    []byte // a JSON document
	// Unreadable says that the text is no configuration at all. Ruleset is not set, and
	// DecodingIssues holds the reason.
	Unreadable     bool
	DecodingIssues []DecodingIssue
	// Paths returns the paths of the JSON fields that may hold a field of the ruleset. The first
	// one that is in the text counts.
	Paths func(planner.Location) []string
}

// DecodingIssue is a field that could not be decoded, or that decoding ignored.
type DecodingIssue struct {
	Severity Severity
	Code     Code
	Location planner.Location // which route or service it is in; Field is not used
	Path     string           // path of the JSON field; not used if the document is unreadable
	Offset   int64            // in the text, if the document is unreadable
	Text     string
}

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"` // in the order of the text; never nil
	// Diff is what differs from the configuration in force. It is nil if that was not given, or
	// if a field of the document cannot be decoded.
	Diff *Diff `json:"diff,omitempty"`
}

// HighestSeverity returns the highest severity of the findings, or None if there are none.
func (r *Report) HighestSeverity() Severity {
	highest := None
	for i := range r.Findings {
		highest = max(highest, r.Findings[i].Severity)
	}
	return highest
}

// Option changes what Check reports.
type Option func(*check)

// WithInForce compares the document with the configuration in force. A ruleset with version 0
// stands for none.
func WithInForce(r planner.Ruleset) Option {
	return func(c *check) { c.inForce = &r }
}

// check is a check in progress.
type check struct {
	document Document
	inForce  *planner.Ruleset
	index    *fieldIndex
	// invalidPaths holds the paths of the fields with an error. Further findings about them would
	// only be consequences of it.
	invalidPaths map[string]bool
	findings     []Finding
}

// Check returns the findings about a document.
func Check(d Document, opts ...Option) Report {
	c := check{document: d, invalidPaths: make(map[string]bool)}
	for _, opt := range opts {
		opt(&c)
	}
	c.index = newFieldIndex(d.Text, !d.Unreadable)
	c.addDecodingIssues()
	decoded := !c.hasError()
	if !d.Unreadable {
		c.addViolations()
		c.addWarnings()
	}
	slices.SortStableFunc(c.findings, Finding.compare)
	r := Report{Findings: c.findings}
	if c.inForce != nil && decoded {
		diff := DiffBetween(*c.inForce, d.Ruleset)
		r.Diff = &diff
	}
	return r
}

// hasError reports whether one of the findings so far is an error.
func (c *check) hasError() bool {
	return slices.ContainsFunc(c.findings, func(f Finding) bool { return f.Severity == Error })
}

// addDecodingIssues reports what could not be decoded, or was ignored.
func (c *check) addDecodingIssues() {
	c.findings = make([]Finding, 0, len(c.document.DecodingIssues))
	for _, issue := range c.document.DecodingIssues {
		f := Finding{Severity: issue.Severity, Code: issue.Code, Field: issue.Path, Text: issue.Text, offset: issue.Offset}
		if !c.document.Unreadable {
			f.offset = c.index.offset(issue.Path)
		}
		if issue.Severity == Error {
			c.invalidPaths[issue.Path] = true
		}
		c.add(f, issue.Location)
	}
}

// violationCodes maps fields to the codes of their violations. Others are OutOfRange.
var violationCodes = map[string]Code{
	planner.FieldAddress: BadAddress, planner.FieldPoolName: BadName, planner.FieldShares: NoService,
	planner.FieldSharePool: UnknownService, planner.FieldShareWeight: BadWeight,
}

// addViolations reports what the operator door refuses although it can be decoded.
func (c *check) addViolations() {
	poolsMissing := c.hasInvalidPath(planner.RulesetLocation(planner.FieldPools))
	for v := range c.document.Ruleset.Violations() {
		if c.hasInvalidPath(v.Location) || v.Location.Field == planner.FieldSharePool && poolsMissing {
			continue
		}
		code, ok := violationCodes[v.Location.Field]
		if !ok {
			code = OutOfRange
		}
		c.addAt(v.Location, Error, code, violationText(v.Refusal))
	}
	for i := range c.findings {
		if c.findings[i].Severity == Error {
			c.invalidPaths[c.findings[i].Field] = true
		}
	}
}

// hasInvalidPath reports whether one of the fields that may hold a field of the ruleset has an error.
func (c *check) hasInvalidPath(l planner.Location) bool {
	return slices.ContainsFunc(c.document.Paths(l), func(path string) bool { return c.invalidPaths[path] })
}

// addWarning reports a field with no effect or in contradiction to another, unless it has an error.
func (c *check) addWarning(at planner.Location, code Code, text string) {
	if path, _ := c.index.find(c.document.Paths(at)); !c.invalidPaths[path] {
		c.addAt(at, Warning, code, text)
	}
}

// addAt reports a finding about a field of the ruleset.
func (c *check) addAt(at planner.Location, severity Severity, code Code, text string) {
	path, offset := c.index.find(c.document.Paths(at))
	c.add(Finding{Severity: severity, Code: code, Field: path, Text: text, offset: offset}, at)
}

// add completes a finding with its line and with the names of the route and service.
func (c *check) add(f Finding, at planner.Location) {
	f.Line, f.Column = c.index.position(f.offset)
	rules := &c.document.Ruleset
	if at.Route >= 0 && at.Route < len(rules.Routes) {
		f.Route = rules.Routes[at.Route].Name
		if at.Share >= 0 && at.Share < len(rules.Routes[at.Route].WeightedPools) {
			f.Service = rules.Routes[at.Route].WeightedPools[at.Share].Pool
		}
	}
	if at.Pool >= 0 && at.Pool < len(rules.Pools) {
		f.Service = rules.Pools[at.Pool].Name
	}
	c.findings = append(c.findings, f)
}
