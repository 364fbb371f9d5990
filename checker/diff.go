package checker

import (
	"net/netip"
	"strconv"
	"strings"

	"almondpick/planner"
)

// ChangeKind says how a route or service differs.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// changeSigns are the signs of changes in the text of a diff.
var changeSigns = map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}

// Diff is what differs between two configurations.
type Diff struct {
	Version  VersionChange  `json:"version"`
	Routes   []ObjectChange `json:"routes"`
	Services []ObjectChange `json:"services"`
	Limits   []FieldChange  `json:"limits"`
}

// VersionChange is the version in force, 0 if there is none, and that of the document.
type VersionChange struct {
	InForce  uint64 `json:"in-force"`
	Document uint64 `json:"document"`
	IsHigher bool   `json:"is-higher"` // only then the document comes into force
}

// ObjectChange is a route or service that was added, removed or changed. All fields of an added
// one have a new value, and all of a removed one an old value.
type ObjectChange struct {
	Kind    ChangeKind    `json:"kind"`
	Name    string        `json:"name"`
	Address string        `json:"address,omitempty"` // of a route
	Fields  []FieldChange `json:"fields"`
}

// FieldChange is the old and the new value of a field.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// DiffBetween returns what differs between the configuration in force and another. Routes are the
// same if they have the same address, and services if they have the same name.
func DiffBetween(inForce, document planner.Ruleset) Diff {
	d := Diff{
		Version:  VersionChange{InForce: inForce.Version, Document: document.Version, IsHigher: document.Version > inForce.Version},
		Routes:   changesBetween(objects(inForce.Routes, routeObject), objects(document.Routes, routeObject)),
		Services: changesBetween(objects(inForce.Pools, poolObject), objects(document.Pools, poolObject)),
		Limits:   []FieldChange{},
	}
	if inForce.IdleTimeout != document.IdleTimeout {
		d.Limits = append(d.Limits, FieldChange{Field: "idle-timeout", Old: inForce.IdleTimeout.String(), New: document.IdleTimeout.String()})
	}
	return d
}

// IsEmpty reports whether nothing but the version differs.
func (d *Diff) IsEmpty() bool { return len(d.Routes)+len(d.Services)+len(d.Limits) == 0 }

// String returns the diff as lines that begin with + (added), - (removed) or ~ (changed).
func (d *Diff) String() string {
	var b strings.Builder
	b.WriteString("version " + strconv.FormatUint(d.Version.InForce, 10) + " -> " + strconv.FormatUint(d.Version.Document, 10))
	if !d.Version.IsHigher {
		b.WriteString(" (not higher)")
	}
	b.WriteString("\n")
	if d.IsEmpty() {
		b.WriteString("nothing else differs\n")
	}
	for _, list := range []struct {
		kind    string
		changes []ObjectChange
	}{{"route", d.Routes}, {"service", d.Services}} {
		for _, change := range list.changes {
			b.WriteString(change.text(list.kind))
		}
	}
	for _, limit := range d.Limits {
		b.WriteString(changeSigns[Changed] + " limit " + limit.text() + "\n")
	}
	return b.String()
}

// text returns the lines of a change: one line for an added or removed object, and one more for
// each field of a changed one.
func (o *ObjectChange) text(kind string) string {
	text := changeSigns[o.Kind] + " " + kind + " " + o.Name
	if o.Address != "" {
		text += " " + o.Address
	}
	if o.Kind != Changed {
		values := make([]string, 0, len(o.Fields))
		for _, f := range o.Fields {
			values = append(values, f.Field+" "+quoteIfEmpty(f.Old+f.New))
		}
		return text + ": " + strings.Join(values, ", ") + "\n"
	}
	for _, f := range o.Fields {
		text += "\n    " + f.text()
	}
	return text + "\n"
}

func (f *FieldChange) text() string {
	return f.Field + ": " + quoteIfEmpty(f.Old) + " -> " + quoteIfEmpty(f.New)
}

// quoteIfEmpty returns a value, or two quotes for an empty one.
func quoteIfEmpty(value string) string {
	if value == "" {
		return `""`
	}
	return value
}

// object is a route or service as a diff shows it. Objects of the same kind have the same fields
// in the same order.
type object struct {
	identity string // the object of the other configuration with this identity is the same one
	name     string
	address  netip.AddrPort
	fields   []field
}

// field is a field of an object, as text.
type field struct{ name, value string }

// objects converts routes or pools to objects.
func objects[T any](list []T, convert func(*T) object) []object {
	converted := make([]object, 0, len(list))
	for i := range list {
		converted = append(converted, convert(&list[i]))
	}
	return converted
}

func routeObject(r *planner.Route) object {
	services := make([]string, 0, len(r.WeightedPools))
	for _, share := range r.WeightedPools {
		services = append(services, share.Pool+" "+strconv.Itoa(share.Weight))
	}
	return object{
		identity: r.Address.String(), name: r.Name, address: r.Address,
		fields: []field{
			{"name", r.Name},
			{"retry-policy", r.RetryPolicy.String()},
			{"timeout", r.CallerTimeout.String()},
			{"objective", r.LatencyObjective.String()},
			{"priority", strconv.Itoa(r.Priority)},
			{"services", strings.Join(services, " + ")},
		},
	}
}

func poolObject(p *planner.Pool) object {
	return object{
		identity: p.Name, name: p.Name,
		fields: []field{
			{"health-path", p.HealthPath},
			{"max-connections", strconv.Itoa(p.MaxConnections)},
			{"slow-start", p.SlowStart.String()},
			{"slow-start-rate", strconv.FormatFloat(p.SlowStartRate, 'g', -1, 64)},
		},
	}
}

// changesBetween returns the changed and added objects in the order of next, and then the removed
// ones in the order of old.
func changesBetween(old, next []object) []ObjectChange {
	before := make(map[string]*object, len(old))
	for i := range old {
		before[old[i].identity] = &old[i]
	}
	changes := []ObjectChange{}
	isKept := make(map[string]bool, len(next))
	for i := range next {
		isKept[next[i].identity] = true
		o, ok := before[next[i].identity]
		if !ok {
			changes = append(changes, next[i].change(Added, fieldChanges(nil, next[i].fields)))
			continue
		}
		if fields := fieldChanges(o.fields, next[i].fields); len(fields) > 0 {
			changes = append(changes, next[i].change(Changed, fields))
		}
	}
	for i := range old {
		if !isKept[old[i].identity] {
			changes = append(changes, old[i].change(Removed, fieldChanges(old[i].fields, nil)))
		}
	}
	return changes
}

// change returns the change of an object in the given fields.
func (o *object) change(kind ChangeKind, fields []FieldChange) ObjectChange {
	c := ObjectChange{Kind: kind, Name: o.name, Fields: fields}
	if o.address.IsValid() {
		c.Address = o.address.String()
	}
	return c
}

// fieldChanges returns the fields with different values. Either list may be nil: then all fields
// of the other one differ.
func fieldChanges(old, next []field) []FieldChange {
	changes := []FieldChange{}
	for i := range max(len(old), len(next)) {
		switch {
		case old == nil:
			changes = append(changes, FieldChange{Field: next[i].name, New: next[i].value})
		case next == nil:
			changes = append(changes, FieldChange{Field: old[i].name, Old: old[i].value})
		case old[i].value != next[i].value:
			changes = append(changes, FieldChange{Field: next[i].name, Old: old[i].value, New: next[i].value})
		}
	}
	return changes
}
