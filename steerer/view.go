package steerer

import (
	"net/netip"
	"slices"
	"time"
)

// Share is the part of a route's new flows that goes to one pool.
type Share struct {
	Pool   string
	Weight int
}

// Route says where the new flows of one address go.
type Route struct {
	Name    string
	Class   string // of the requests that it carries
	Address netip.AddrPort
	Timeout time.Duration // after which callers give up
	Shares  []Share
	total   int // weight
}

// has tells whether the route sends flows to a pool.
func (r *Route) has(pool string) bool {
	for i := range r.Shares {
		if r.Shares[i].Pool == pool {
			return true
		}
	}
	return false
}

// Target is a target as the view has it.
type Target struct {
	Identity    uint64
	Incarnation uint64
	Endpoint    netip.AddrPort
	DataCentre  string
	Pool        string
	Slots       int
	AcceptsNewFlows         bool          // takes new flows
	Deregistered        bool          // has said that it ended
	WarmingUpUntil   time.Duration // slow until then
	LastSeen        time.Duration // when it was last heard of
}

// Label returns the label of the target.
func (t *Target) Label() Label { return LabelOf(t.Identity) }

// View is an immutable picture of configuration and targets.
type View struct {
	ConfigVersion    uint64 // of the configuration
	LocalDataCentre string // of this instance
	// Synced says that nothing is missing: an address without a route has none, and
	// a pool without targets is empty. Before, packets wait.
	Synced bool
	routes   map[netip.AddrPort]*Route
	pools    map[string][]*Target
	targets  []*Target
	byLabel  map[Label]*Target
}

// NewView returns a view. Of two targets with one identity the later incarnation
// counts. Of two with one label, the one that may still have flows keeps it and the
// other is not offered, because packets could not be told apart.
func NewView(version uint64, dataCentre string, routes []Route, targets []Target) *View {
	v := &View{
		ConfigVersion: version, LocalDataCentre: dataCentre,
		routes:  make(map[netip.AddrPort]*Route, len(routes)),
		pools:   make(map[string][]*Target),
		byLabel: make(map[Label]*Target, len(targets)),
	}
	for i := range routes {
		r := &routes[i]
		for _, s := range r.Shares {
			r.total += s.Weight
		}
		v.routes[r.Address] = r
	}
	slices.SortFunc(targets, func(a, b Target) int {
		if a.Incarnation != b.Incarnation {
			return int(int64(b.Incarnation) - int64(a.Incarnation))
		}
		return a.Endpoint.Compare(b.Endpoint)
	})
	for i := range targets {
		v.add(&targets[i])
	}
	return v
}

// add takes in a target; earlier incarnations come after later ones.
func (v *View) add(t *Target) {
	if t.Identity == 0 {
		return
	}
	other := v.byLabel[t.Label()]
	if other != nil && other.Identity == t.Identity {
		return
	}
	if other != nil && other.Deregistered {
		v.remove(other)
		other = nil
	}
	if other != nil {
		if t.Deregistered {
			return
		}
		// The one that came first keeps the label: its flows use it already.
		v.remove(other)
	}
	v.byLabel[t.Label()] = t
	v.targets = append(v.targets, t)
	v.pools[t.Pool] = append(v.pools[t.Pool], t)
}

func (v *View) remove(t *Target) {
	is := func(o *Target) bool { return o == t }
	v.targets = slices.DeleteFunc(v.targets, is)
	v.pools[t.Pool] = slices.DeleteFunc(v.pools[t.Pool], is)
}

// WithSynced returns the view marked as complete or not.
func (v *View) WithSynced(complete bool) *View {
	next := *v
	next.Synced = complete
	return &next
}

// EligibleTargetCount returns the number of targets that take new flows.
func (v *View) EligibleTargetCount() int {
	n := 0
	for _, t := range v.targets {
		if t.AcceptsNewFlows {
			n++
		}
	}
	return n
}
