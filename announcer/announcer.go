// Package announcer keeps the list of targets. Targets announce themselves to any
// instance, which spreads what is news as gossip records; no other list exists.
package announcer

import (
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondpick/gossiper"
)

// State is what a target says of itself.
type State uint8

// The states.
const (
	Serving State = iota
	Cold
	Draining
	Gone
	stateCount
)

var stateNames = [stateCount]string{"serving", "cold", "draining", "gone"}

// String returns the name of the state.
func (s State) String() string {
	if s >= stateCount {
		return "unknown"
	}
	return stateNames[s]
}

// UnmarshalText reads the name of a state. It returns a *FieldError.
func (s *State) UnmarshalText(b []byte) error {
	for i, n := range stateNames {
		if n == string(b) {
			*s = State(i)
			return nil
		}
	}
	return &FieldError{Field: "state", Value: string(b), Allowed: "serving, cold, draining or gone"}
}

// MarshalText writes the name of the state.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Limits of an announcement.
const (
	MaxSlots       = 1 << 16
	MaxConnections = 1 << 24
)

// Times of the announcements.
const (
	Interval      = time.Second     // at which targets announce themselves
	LostAfter     = 3 * time.Second // without an announcement
	RepublishLoad = 10 * time.Second
	ForgetAfter   = 10 * time.Minute
	Quarantine    = 10 * time.Second // after an endpoint changed its job
	RampTime      = 10 * time.Second // of a target that was cold or has just come
)

var jobPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

// Announcement is what a target says of itself.
type Announcement struct {
	Endpoint    netip.AddrPort `json:"endpoint"` // Geneve over UDP
	Request     netip.AddrPort `json:"request"`  // HTTP
	Job         string         `json:"job"`
	DataCentre  string         `json:"data-centre"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Running     int            `json:"running"`
	Load        float64        `json:"load"` // 0 idle to 1 full
	State       State          `json:"state"`
	Incarnation uint64         `json:"incarnation"`
	Sequence    uint64         `json:"sequence"`
	// Identity names the target in packets that only it takes in; 0 for a target
	// that takes in all packets sent to its endpoint.
	Identity uint64 `json:"identity"`
	// ColdFor is how much longer a cold target is slow; 0 where it did not say.
	ColdFor time.Duration `json:"cold-for"`
}

// WithCold returns the announcement of a serving target that is slow for a while.
func (a Announcement) WithCold(left time.Duration) Announcement {
	if left > 0 && a.State == Serving {
		a.State = Cold
		a.ColdFor = left
	}
	return a
}

// FieldError reports a field of an announcement that is out of its range.
type FieldError struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error implements error.
func (e *FieldError) Error() string {
	return "announcement field " + e.Field + " is " + e.Value + "; allowed: " + e.Allowed
}

// Validate returns a *FieldError for the first field out of range.
func (a Announcement) Validate() error {
	switch {
	case !a.Endpoint.IsValid() || a.Endpoint.Port() == 0:
		return &FieldError{Field: "endpoint", Value: a.Endpoint.String(), Allowed: "IP:port"}
	case !jobPattern.MatchString(a.Job):
		return &FieldError{Field: "job", Value: a.Job, Allowed: "1 to 63 letters, digits, '.', '_' and '-'"}
	case len(a.DataCentre) > 63:
		return &FieldError{Field: "data-centre", Value: a.DataCentre, Allowed: "at most 63 bytes"}
	case a.Slots < 0 || a.Slots > MaxSlots:
		return &FieldError{Field: "slots", Value: strconv.Itoa(a.Slots), Allowed: "0 to 65536"}
	case a.Connections < 0 || a.Connections > MaxConnections:
		return &FieldError{Field: "connections", Value: strconv.Itoa(a.Connections), Allowed: "0 to 16777216"}
	case !(a.Load >= 0 && a.Load <= 1000):
		return &FieldError{Field: "load", Value: strconv.FormatFloat(a.Load, 'g', -1, 64), Allowed: "0 to 1000"}
	case a.State >= stateCount:
		return &FieldError{Field: "state", Value: strconv.Itoa(int(a.State)), Allowed: "serving, cold, draining or gone"}
	}
	return nil
}

// body is the form of an announcement in a gossip record.
type body struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Request     string
	Job         string
	DataCentre  string
	Slots       int
	Connections int
	Running     int
	Load        float32
	State       State
	Home        string
	Identity    uint64
	ColdFor     time.Duration
}

// Target is what an instance believes of a target.
type Target struct {
	Announcement
	Home  string        // instance that it announces itself to
	Lost  bool          // it stopped announcing itself
	Since time.Duration // of its present job and state
	Fence time.Duration // until then it takes no work: the endpoint changed its job
	Seen  time.Duration // when this was last heard of
}

// Name returns the identity of the target among the targets of a service.
func (t Target) Name() string {
	return t.Endpoint.String()
}

// Publisher spreads records.
type Publisher interface {
	Announce(r gossiper.Record) bool
}

// Registry holds the targets as one instance knows them. It belongs to the
// control goroutine.
type Registry struct {
	self      string
	targets   map[netip.AddrPort]*Target
	home      map[netip.AddrPort]local
	forgotten []string
	revision  uint64
	changed   func(t Target)
}

// local is what the home of a target keeps of it.
type local struct {
	heard     time.Duration
	published time.Duration
	sequence  uint64 // of the announcement that was last spread
}

// Option sets a property of a Registry.
type Option func(*Registry)

// WithChanges has f called with every change of what is believed of a target.
func WithChanges(f func(t Target)) Option {
	return func(r *Registry) { r.changed = f }
}

// NewRegistry returns an empty registry of the instance self.
func NewRegistry(self string, opts ...Option) *Registry {
	r := &Registry{
		self:    self,
		targets: make(map[netip.AddrPort]*Target),
		home:    make(map[netip.AddrPort]local),
		changed: func(Target) {},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Revision rises whenever a target changes in a way that decisions rest on.
func (r *Registry) Revision() uint64 {
	return r.revision
}

// Forgotten returns the keys of records that need not be kept any more.
func (r *Registry) Forgotten() []string {
	keys := r.forgotten
	r.forgotten = nil
	return keys
}

// Len returns the number of targets that are known.
func (r *Registry) Len() int {
	return len(r.targets)
}

// Targets calls f for every target.
func (r *Registry) Targets(f func(Target)) {
	for _, t := range r.targets {
		f(*t)
	}
}

// Announce takes in what a target says of itself here, and spreads it where it is
// news. It returns a *FieldError for bad content.
func (r *Registry) Announce(now time.Duration, a Announcement, p Publisher) error {
	if err := a.Validate(); err != nil {
		return err
	}
	old := r.targets[a.Endpoint]
	if old != nil && older(a, old.Announcement) {
		return nil
	}
	l, mine := r.home[a.Endpoint]
	l.heard = now
	if r.worthSpreading(now, a, old, l, mine) {
		l.published = now
		l.sequence = a.Sequence
		r.take(now, a, r.self, false)
		p.Announce(r.record(a, gossiper.RankOwn))
	} else {
		old.Connections, old.Running, old.Load, old.Sequence = a.Connections, a.Running, a.Load, a.Sequence
		old.Seen = now
	}
	r.home[a.Endpoint] = l
	return nil
}

// older tells whether a says less than b does. A target that is named by an identity
// does not come back from its end; what still arrives was sent before.
func older(a, b Announcement) bool {
	if b.State == Gone && b.Identity != 0 && a.Incarnation == b.Incarnation && a.State != Gone {
		return true
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence < b.Sequence
}

func (r *Registry) worthSpreading(now time.Duration, a Announcement, old *Target, l local, mine bool) bool {
	if old == nil || !mine || old.Lost || old.Home != r.self {
		return true
	}
	if a.Job != old.Job || a.State != old.State || a.Slots != old.Slots || a.Incarnation != old.Incarnation {
		return true
	}
	const significant = 0.25 // of the load scale
	changed := a.Load-old.Load > significant || old.Load-a.Load > significant
	return changed && now-l.published >= RepublishLoad
}

func (r *Registry) record(a Announcement, rank gossiper.Rank) gossiper.Record {
	return record(a, r.self, rank)
}

// record returns the form in which an announcement to the instance home spreads.
func record(a Announcement, home string, rank gossiper.Rank) gossiper.Record {
	b, err := cbor.Marshal(body{
		Endpoint: a.Endpoint.String(), Request: a.Request.String(), Job: a.Job, DataCentre: a.DataCentre,
		Slots: a.Slots, Connections: a.Connections, Running: a.Running, Load: float32(a.Load), State: a.State, Home: home,
		Identity: a.Identity, ColdFor: a.ColdFor,
	})
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return gossiper.Record{
		Key:         gossiper.TargetPrefix + a.Endpoint.String(),
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Rank:        rank,
		Body:        b,
	}
}

// read returns the announcement in a record and the home of its target. ok is false for a
// damaged record.
func read(rec gossiper.Record) (a Announcement, home string, ok bool) {
	var b body
	if cbor.Unmarshal(rec.Body, &b) != nil {
		return a, "", false
	}
	endpoint, err := netip.ParseAddrPort(b.Endpoint)
	if err != nil {
		return a, "", false
	}
	request, _ := netip.ParseAddrPort(b.Request) // a target need not serve requests
	a = Announcement{
		Endpoint: endpoint, Request: request, Job: b.Job, DataCentre: b.DataCentre, Slots: b.Slots,
		Connections: b.Connections, Running: b.Running, Load: float64(b.Load), State: b.State,
		Incarnation: rec.Incarnation, Sequence: rec.Sequence, Identity: b.Identity,
		ColdFor: b.ColdFor,
	}
	return a, b.Home, a.Validate() == nil
}

// Learn takes in a record that gossip brought. Damaged ones are left out.
func (r *Registry) Learn(now time.Duration, rec gossiper.Record) {
	a, home, ok := read(rec)
	if !ok {
		return
	}
	old := r.targets[a.Endpoint]
	lost := rec.Rank != gossiper.RankOwn
	if old == nil && lost {
		r.forgotten = append(r.forgotten, rec.Key)
		return
	}
	if old != nil && older(a, old.Announcement) {
		return
	}
	if old != nil && old.Home == home && old.Sequence == a.Sequence && old.Incarnation == a.Incarnation && old.Lost == lost {
		return
	}
	if home == r.self && !lost && a.State != Gone {
		// This instance was the home before it restarted. It watches the target again:
		// nobody else would notice that it has ended meanwhile.
		r.home[a.Endpoint] = local{heard: now, published: now, sequence: a.Sequence}
	} else {
		delete(r.home, a.Endpoint)
	}
	r.take(now, a, home, lost)
}

// take makes a the present state of its endpoint. An endpoint that comes back
// under another job gets no work until every instance can have heard of it, unless
// packets name the target that they are meant for.
func (r *Registry) take(now time.Duration, a Announcement, home string, lost bool) {
	old := r.targets[a.Endpoint]
	t := &Target{Announcement: a, Home: home, Lost: lost, Since: now, Seen: now}
	if old != nil {
		t.Since = old.Since
		t.Fence = old.Fence
		if old.Job != a.Job && a.Identity == 0 {
			t.Fence = now + Quarantine
		}
		if old.Job != a.Job || old.State != a.State || old.Lost != lost || old.Incarnation != a.Incarnation {
			t.Since = now
		}
	}
	r.targets[a.Endpoint] = t
	r.revision++
	r.changed(*t)
}

// Tick declares targets lost that have stopped announcing themselves here, and
// forgets those that have been lost for long. alive tells whether an instance is.
func (r *Registry) Tick(now time.Duration, alive func(instance string) bool, p Publisher) {
	for endpoint, l := range r.home {
		t := r.targets[endpoint]
		if t == nil || now-l.heard < LostAfter {
			continue
		}
		delete(r.home, endpoint)
		a := t.Announcement
		r.take(now, a, r.self, true)
		p.Announce(r.record(a, gossiper.RankSuspect))
	}
	for endpoint, t := range r.targets {
		if t.Home == r.self || alive(t.Home) {
			t.Seen = now
		}
		if !t.Lost && now-t.Seen >= LostAfter+2*Interval {
			t.Lost = true
			t.Since = now
			r.revision++
			r.changed(*t)
		}
		if t.Lost && now-t.Since >= ForgetAfter {
			delete(r.targets, endpoint)
			r.forgotten = append(r.forgotten, gossiper.TargetPrefix+endpoint.String())
			r.revision++
		}
	}
}

// Fit tells whether a target takes new work.
func (t Target) Fit(now time.Duration) bool {
	return !t.Lost && (t.State == Serving || t.State == Cold) && now >= t.Fence
}
