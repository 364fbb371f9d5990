package steerer

import (
	"net/netip"
	"slices"
	"time"

	"almondpick/warmer"
)

// Target is the state of a target in a view.
type Target struct {
	Identity        uint64 // 0 is not valid
	Incarnation     uint64 // higher for a target that started later
	Endpoint        netip.AddrPort
	DataCentre      string
	Pool            string
	Slots           int // requests that the target works on at a time
	AcceptsNewFlows bool
	Evacuated       bool          // would accept new flows, but its data centre is evacuated
	Deregistered    bool          // has announced that it ended
	SlowStartUntil  time.Duration // in slow start, and slower, until then
	SlowStartRate   float64       // flows a second that it bears in slow start, 0 if that is not known
	LastSeen        time.Duration // time of its last announcement
}

// Label returns the label of the target.
func (t *Target) Label() Label { return LabelOf(t.Identity) }

// slotCount returns the number of slots of the target, 1 if it has announced none.
func (t *Target) slotCount() int { return max(t.Slots, 1) }

// admissionPool returns the name under which admission counts the requests to the target. Those on
// the open flows of the evacuated targets of a pool are counted apart: the other targets bear none
// of them, and new flows must not wait for them.
func (t *Target) admissionPool() string {
	if t.Evacuated {
		return t.Pool + " (evacuated)"
	}
	return t.Pool
}

// View is an immutable snapshot of the configuration and the targets.
type View struct {
	ConfigVersion   uint64
	LocalDataCentre string // data centre of this instance
	// Synced says that the view holds all routes and targets: the address of a missing
	// route is not configured, and a pool without targets is empty. Packets of unknown
	// routes and targets are held until the view is synced.
	Synced bool
	// ForwardingInstances is the number of instances that forward the packets of callers, this
	// one included; 0 counts as 1.
	ForwardingInstances int
	forwarders          warmer.Members
	forwardersAt        time.Duration  // when forwarders was set; 0 if it was not
	acceptingSlots      map[string]int // slots of the targets that accept new flows, by pool
	evacuatedSlots      map[string]int // slots of the evacuated targets, by pool
	admissionSlots      map[string]int // slots by admission pool, see Target.admissionPool
	table               *RouteTable
	pools               map[string][]*Target
	targets             []*Target
	targetsByLabel      map[Label]*Target
}

// NewView returns a view that is not marked as synced. If two targets have the same
// identity, the view contains the later incarnation only. If two targets have the same
// label, the view contains only the one that may still have flows, because their packets
// could not be told apart. NewView sorts targets and keeps references into that slice.
func NewView(configVersion uint64, localDataCentre string, routes []Route, targets []Target) *View {
	v := &View{
		ConfigVersion: configVersion, LocalDataCentre: localDataCentre,
		table:          NewRouteTable(routes),
		pools:          make(map[string][]*Target),
		acceptingSlots: make(map[string]int),
		evacuatedSlots: make(map[string]int),
		admissionSlots: make(map[string]int),
		targetsByLabel: make(map[Label]*Target, len(targets)),
	}
	slices.SortFunc(targets, func(a, b Target) int {
		if a.Incarnation != b.Incarnation {
			return int(int64(b.Incarnation) - int64(a.Incarnation))
		}
		return a.Endpoint.Compare(b.Endpoint)
	})
	for i := range targets {
		v.addTarget(&targets[i])
	}
	for _, t := range v.targets {
		if t.AcceptsNewFlows {
			v.acceptingSlots[t.Pool] += t.slotCount()
		}
		if t.Evacuated {
			v.evacuatedSlots[t.Pool] += t.slotCount()
		}
		if t.AcceptsNewFlows || t.Evacuated {
			v.admissionSlots[t.admissionPool()] += t.slotCount()
		}
	}
	return v
}

// getsNewFlows reports whether the pool of a share gets new flows of its route. A pool with the weight
// 0 never does. One that is evacuated as a whole leaves its share to the other pools of the route.
func (v *View) getsNewFlows(s Share) bool {
	return s.Weight > 0 && !v.poolEvacuated(s.Pool)
}

// totalWeight returns the sum of the weights of the shares that get new flows.
func (v *View) totalWeight(shares []Share) int {
	total := 0
	for _, s := range shares {
		if v.getsNewFlows(s) {
			total += s.Weight
		}
	}
	return total
}

// poolEvacuated reports whether all targets of a pool that would accept new flows are evacuated.
func (v *View) poolEvacuated(pool string) bool {
	return v.evacuatedSlots[pool] > 0 && v.acceptingSlots[pool] == 0
}

// addTarget adds a target to the view. It must be called with later incarnations before
// earlier ones.
func (v *View) addTarget(t *Target) {
	if t.Identity == 0 {
		return
	}
	existing := v.targetsByLabel[t.Label()]
	if existing != nil && existing.Identity == t.Identity {
		return
	}
	if existing != nil && existing.Deregistered {
		v.removeTarget(existing)
		existing = nil
	}
	if existing != nil {
		if t.Deregistered {
			return
		}
		// The target that started first keeps the label: its flows already use the label.
		v.removeTarget(existing)
	}
	v.targetsByLabel[t.Label()] = t
	v.targets = append(v.targets, t)
	v.pools[t.Pool] = append(v.pools[t.Pool], t)
}

// removeTarget removes a target from the target list and its pool. Its entry in
// targetsByLabel stays for the caller to overwrite.
func (v *View) removeTarget(t *Target) {
	matches := func(o *Target) bool { return o == t }
	v.targets = slices.DeleteFunc(v.targets, matches)
	v.pools[t.Pool] = slices.DeleteFunc(v.pools[t.Pool], matches)
}

// WithRouteTable returns a copy of the view with the routes of a table.
func (v *View) WithRouteTable(t *RouteTable) *View {
	clone := *v
	clone.table = t
	return &clone
}

// route returns the route with an address, or nil if there is none.
func (v *View) route(address netip.AddrPort) *Route { return v.table.routes[address] }

// WithSynced returns a copy of the view with Synced set to the argument.
func (v *View) WithSynced(synced bool) *View {
	clone := *v
	clone.Synced = synced
	return &clone
}

// WithForwardingInstances returns a copy of the view with ForwardingInstances set to the
// argument.
func (v *View) WithForwardingInstances(n int) *View {
	clone := *v
	clone.ForwardingInstances = n
	return &clone
}

// WithForwarders returns a copy of the view with the forwarding instances as known at a time, which
// targets in slow start with a known rate depend on.
func (v *View) WithForwarders(at time.Duration, m warmer.Members) *View {
	clone := *v
	clone.forwarders, clone.forwardersAt = m, max(at, 1)
	return &clone
}

// AcceptingTargetCount returns the number of targets in the view that accept new flows.
func (v *View) AcceptingTargetCount() int {
	n := 0
	for _, t := range v.targets {
		if t.AcceptsNewFlows {
			n++
		}
	}
	return n
}
