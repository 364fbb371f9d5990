// Package announcer is the registry of targets. Targets announce themselves to any instance
// at regular intervals, as heartbeats; the instance publishes changes to all others as gossip
// records. There is no other list of targets.
package announcer

import (
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondpick/gossiper"
)

// State is the state that a target announces.
type State uint8

// The states. The numbers are sent in records and the names in announcements.
const (
	Serving      State = iota
	SlowStart          // the target has just started: it accepts new work, but is still slow
	Draining           // the target accepts no new work
	Deregistered       // the target has ended
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

// UnmarshalText parses the name of a state. It returns a *FieldError.
func (s *State) UnmarshalText(b []byte) error {
	for i, n := range stateNames {
		if n == string(b) {
			*s = State(i)
			return nil
		}
	}
	return &FieldError{Field: "state", Value: string(b), Allowed: "serving, cold, draining or gone"}
}

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Limits of the fields of an announcement.
const (
	MaxSlots       = 1 << 16
	MaxConnections = 1 << 24 // also of running requests
	MaxSlowStart   = 24 * time.Hour
	// MaxCounter is the highest incarnation and sequence. No later announcement could exceed one
	// at the top of the range of the type.
	MaxCounter = 1 << 62
)

// Intervals and timeouts.
const (
	AnnouncementInterval  = time.Second      // between the announcements of a target
	UnreachableAfter      = 3 * time.Second  // after which a target that has not announced itself is unreachable
	LoadRepublishInterval = 10 * time.Second // least time before a change of the load alone is published
	UnreachableRetention  = 10 * time.Minute // after which an unreachable target is deleted
	JobChangeQuarantine   = 10 * time.Second // for which a target gets no work after the job at its endpoint has changed
	MonitorTakeoverDelay  = 2 * time.Second  // after which another instance replaces the unreachable monitor of a target
)

var jobPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

// Announcement is the heartbeat of a target, with its address, load and state.
type Announcement struct {
	Endpoint        netip.AddrPort `json:"endpoint"` // for Geneve over UDP
	RequestAddress  netip.AddrPort `json:"request"`  // for HTTP; the zero value if the target serves no requests
	Job             string         `json:"job"`      // the group of like targets that services refer to
	DataCentre      string         `json:"data-centre"`
	Slots           int            `json:"slots"`       // requests that the target can run at the same time
	Connections     int            `json:"connections"` // that are open now
	RunningRequests int            `json:"running"`
	Load            float64        `json:"load"` // 0 is idle, 1 is full
	State           State          `json:"state"`
	Incarnation     uint64         `json:"incarnation"` // higher for each later process at the endpoint
	Sequence        uint64         `json:"sequence"`    // higher for each later announcement of the incarnation
	// Identity identifies the target in packets that no other target accepts. It is 0 for a
	// target that accepts all packets sent to its endpoint.
	Identity uint64 `json:"identity"`
	// SlowStartRemaining is how much longer a target in state SlowStart is slow; 0 if unknown.
	SlowStartRemaining time.Duration `json:"cold-for"`
}

// WithSlowStart returns the announcement in state SlowStart with the given remaining time, if
// its state is Serving and the time is above 0. Otherwise it returns the announcement unchanged.
func (a Announcement) WithSlowStart(remaining time.Duration) Announcement {
	if remaining > 0 && a.State == Serving {
		a.State = SlowStart
		a.SlowStartRemaining = remaining
	}
	return a
}

// Leaves reports whether the target says that it accepts no more new work.
func (a Announcement) Leaves() bool {
	return a.State == Draining || a.State == Deregistered
}

// FieldError reports a field of an announcement that is out of range. It is sent to targets
// as JSON.
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
	case !isDestination(a.Endpoint):
		return &FieldError{Field: "endpoint", Value: a.Endpoint.String(), Allowed: "IP:port of one host, without a zone"}
	case !jobPattern.MatchString(a.Job):
		return &FieldError{Field: "job", Value: a.Job, Allowed: "1 to 63 letters, digits, '.', '_' and '-'"}
	case len(a.DataCentre) > 63:
		return &FieldError{Field: "data-centre", Value: a.DataCentre, Allowed: "at most 63 bytes"}
	case a.Slots < 0 || a.Slots > MaxSlots:
		return &FieldError{Field: "slots", Value: strconv.Itoa(a.Slots), Allowed: "0 to 65536"}
	case a.Connections < 0 || a.Connections > MaxConnections:
		return &FieldError{Field: "connections", Value: strconv.Itoa(a.Connections), Allowed: "0 to 16777216"}
	case a.State >= stateCount:
		return &FieldError{Field: "state", Value: strconv.Itoa(int(a.State)), Allowed: "serving, cold, draining or gone"}
	}
	return a.validateNumbers()
}

// validateNumbers returns a *FieldError for the first of the load and the counters out of range.
func (a Announcement) validateNumbers() error {
	switch {
	case a.RunningRequests < 0 || a.RunningRequests > MaxConnections:
		return &FieldError{Field: "running", Value: strconv.Itoa(a.RunningRequests), Allowed: "0 to 16777216"}
	case a.SlowStartRemaining < 0 || a.SlowStartRemaining > MaxSlowStart:
		return &FieldError{Field: "cold-for", Value: a.SlowStartRemaining.String(), Allowed: "0s to " + MaxSlowStart.String()}
	case a.Incarnation > MaxCounter:
		return &FieldError{Field: "incarnation", Value: strconv.FormatUint(a.Incarnation, 10), Allowed: "at most 1<<62"}
	case a.Sequence > MaxCounter:
		return &FieldError{Field: "sequence", Value: strconv.FormatUint(a.Sequence, 10), Allowed: "at most 1<<62"}
	case !(a.Load >= 0 && a.Load <= 1000):
		return &FieldError{Field: "load", Value: strconv.FormatFloat(a.Load, 'g', -1, 64), Allowed: "0 to 1000"}
	}
	return nil
}

// isDestination reports whether packets can be sent to an address.
func isDestination(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.IsValid() && a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}

// announcementBody is the body of the gossip record of a target.
type announcementBody struct {
	_                  struct{} `cbor:",toarray"`
	Endpoint           string
	RequestAddress     string
	Job                string
	DataCentre         string
	Slots              int
	Connections        int
	RunningRequests    int
	Load               float32
	State              State
	MonitorInstance    string
	Identity           uint64
	SlowStartRemaining time.Duration
}

// encodeRecord returns the gossip record of a target that the instance monitor monitors.
func encodeRecord(a Announcement, monitor string, liveness gossiper.Liveness) gossiper.Record {
	b, err := cbor.Marshal(announcementBody{
		Endpoint: a.Endpoint.String(), RequestAddress: a.RequestAddress.String(), Job: a.Job, DataCentre: a.DataCentre,
		Slots: a.Slots, Connections: a.Connections, RunningRequests: a.RunningRequests, Load: float32(a.Load), State: a.State, MonitorInstance: monitor,
		Identity: a.Identity, SlowStartRemaining: a.SlowStartRemaining,
	})
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return gossiper.Record{
		Key:         TargetKey(a.Endpoint),
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Liveness:    liveness,
		Body:        b,
	}
}

// decodeRecord returns the announcement and the monitor in the record of a target. ok is false
// if the body cannot be decoded or is not valid.
func decodeRecord(rec gossiper.Record) (a Announcement, monitor string, ok bool) {
	var b announcementBody
	if cbor.Unmarshal(rec.Body, &b) != nil {
		return a, "", false
	}
	endpoint, err := netip.ParseAddrPort(b.Endpoint)
	if err != nil {
		return a, "", false
	}
	request, _ := netip.ParseAddrPort(b.RequestAddress) // a target need not serve requests
	a = Announcement{
		Endpoint: endpoint, RequestAddress: request, Job: b.Job, DataCentre: b.DataCentre, Slots: b.Slots,
		Connections: b.Connections, RunningRequests: b.RunningRequests, Load: float64(b.Load), State: b.State,
		Incarnation: rec.Incarnation, Sequence: rec.Sequence, Identity: b.Identity,
		SlowStartRemaining: b.SlowStartRemaining,
	}
	return a, b.MonitorInstance, a.Validate() == nil
}
