package picker

import (
	"net/netip"
	"time"

	"almondpick/ranker"
)

// TargetID identifies a target within a service. It has 32 bits so that hints and
// replicas stay small. NewTargetID computes it from the names.
type TargetID uint32

// NewTargetID returns the ID of the named target in the named service.
func NewTargetID(service, target string) TargetID {
	return TargetID(ranker.Hash(service + "\x00" + target))
}

// MemberID identifies an instance in the packets between instances.
type MemberID uint64

// NewMemberID returns the ID of the instance with the given name.
func NewMemberID(name string) MemberID {
	return MemberID(ranker.Hash(name))
}

// Member is an instance of the fabric group, which are the instances over which the fabric
// spreads the packets of callers.
type Member struct {
	ID          MemberID
	DataCentre  string
	Draining    bool // still answers, but owns no flows any more
	Unreachable bool // cannot be reached, but has not left the group
}

// Target is a target of one service, with its state in the view.
type Target struct {
	Name            string
	Endpoint        netip.AddrPort
	DataCentre      string
	AcceptsNewFlows bool
	Failed          bool    // does not answer: a flow of which only SYNs were seen may be moved away
	Weight          float64 // relative share of the load; 1 is a full share
}

// ServiceAddress is an address at which callers reach a service.
type ServiceAddress struct {
	Addr     [16]byte
	Port     uint16
	Protocol uint8
}

// Service is one service with its targets.
type Service struct {
	Name      string
	Tenant    string // for the metrics of ended flows
	Class     string // class of the service's requests, for the same metrics
	Addresses []ServiceAddress
	Targets   []Target
	// DefaultTargets names the targets from which the default target of a flow is computed.
	// NextDefaultTargets, if not empty, names the targets that will replace them.
	DefaultTargets     []string
	NextDefaultTargets []string
	// Epsilon is the relative load by which the first target in rank may exceed the second
	// before a new flow goes to the second. If it is negative, no flow does.
	Epsilon      float64
	IdleTimeouts IdleTimeouts
}

// IdleTimeouts holds the times without a packet after which an owner removes a flow.
// AfterClose is longer than hintIdleTimeout, after which other instances remove the flow,
// so that none of them has an older target when the caller reuses the port.
type IdleTimeouts struct {
	Established time.Duration
	AfterClose  time.Duration // after a FIN or RST
	Unconfirmed time.Duration // while only opening packets were seen
	UDP         time.Duration
}

// DefaultIdleTimeouts returns the idle timeouts of services that set none.
func DefaultIdleTimeouts() IdleTimeouts {
	return IdleTimeouts{
		Established: time.Hour,
		AfterClose:  90 * time.Second,
		Unconfirmed: 30 * time.Second,
		UDP:         2 * time.Minute,
	}
}

// serviceTarget is a target together with its service.
type serviceTarget struct {
	id      TargetID
	service *compiledService
	target  Target
}

// compiledService is a service with the node lists for its rankings.
type compiledService struct {
	Service
	address          ServiceAddress // one of the service's addresses
	acceptingNodes   []uint64       // IDs of the targets that accept new flows, as ranker nodes
	acceptingIndexes []int32        // indexes of the same targets in View.targets
	defaultNodes     []uint64       // DefaultTargets as ranker nodes
	defaultIDs       []TargetID     // the same targets as IDs
	nextDefaultNodes []uint64       // NextDefaultTargets as ranker nodes
	nextDefaultIDs   []TargetID     // the same targets as IDs
	indexByID        map[TargetID]int32
}

// View is an immutable snapshot of the members, services and targets that flow decisions
// depend on. NewView creates a View, and Picker.SetView applies it.
type View struct {
	self MemberID
	// dataCentre is the data centre of self.
	dataCentre      string
	members         []Member
	memberIDs       []uint64 // reachable members, self included
	ownerIDs        []uint64 // members that own flows, which are the reachable ones that are not draining
	unreachableIDs  []uint64 // unreachable members
	services        map[ServiceAddress]*compiledService
	targets         []serviceTarget
	targetIndexByID map[TargetID]int32
	digest          uint64 // hash of the owners and the default target sets
}

// NewView returns a view. The members include self unless self must not own flows.
func NewView(self MemberID, members []Member, services []Service) *View {
	v := &View{
		self:            self,
		services:        make(map[ServiceAddress]*compiledService),
		targetIndexByID: make(map[TargetID]int32),
	}
	for _, m := range members {
		if m.Unreachable {
			v.unreachableIDs = append(v.unreachableIDs, uint64(m.ID))
			continue
		}
		v.members = append(v.members, m)
		v.memberIDs = append(v.memberIDs, uint64(m.ID))
		if m.ID == self {
			v.dataCentre = m.DataCentre
		}
		if !m.Draining {
			v.ownerIDs = append(v.ownerIDs, uint64(m.ID))
		}
	}
	for _, s := range services {
		v.addService(s)
	}
	v.digest = viewDigest(v.ownerIDs, services)
	return v
}

// addService adds a service and its targets to the view.
func (v *View) addService(service Service) {
	compiled := &compiledService{Service: service, indexByID: make(map[TargetID]int32, len(service.Targets))}
	for _, t := range service.Targets {
		id := NewTargetID(service.Name, t.Name)
		index := int32(len(v.targets))
		v.targets = append(v.targets, serviceTarget{id: id, service: compiled, target: t})
		compiled.indexByID[id] = index
		v.targetIndexByID[id] = index
		if t.AcceptsNewFlows {
			compiled.acceptingNodes = append(compiled.acceptingNodes, uint64(id))
			compiled.acceptingIndexes = append(compiled.acceptingIndexes, index)
		}
	}
	compiled.defaultNodes, compiled.defaultIDs = targetNodes(service.Name, service.DefaultTargets)
	compiled.nextDefaultNodes, compiled.nextDefaultIDs = targetNodes(service.Name, service.NextDefaultTargets)
	for _, a := range service.Addresses {
		compiled.address = a
		v.services[a] = compiled
	}
}

// targetNodes returns the named targets of a service as ranker nodes and as IDs.
func targetNodes(service string, names []string) ([]uint64, []TargetID) {
	var nodes []uint64
	var ids []TargetID
	for _, n := range names {
		id := NewTargetID(service, n)
		nodes = append(nodes, uint64(id))
		ids = append(ids, id)
	}
	return nodes, ids
}

// isDefaultTarget reports whether every instance computes the given target as the default
// target of the flow. While the default target set is being replaced, the next set must
// give the same target.
func (c *compiledService) isDefaultTarget(flowHash uint64, id TargetID) bool {
	i := ranker.Best(flowHash, c.defaultNodes)
	if i < 0 || c.defaultIDs[i] != id {
		return false
	}
	if len(c.nextDefaultNodes) == 0 {
		return true
	}
	return c.nextDefaultIDs[ranker.Best(flowHash, c.nextDefaultNodes)] == id
}

// defaultTarget returns the index of the default target of the flow, or -1 if the default
// target set is empty or the target is gone from the service.
func (c *compiledService) defaultTarget(flowHash uint64) int32 {
	i := ranker.Best(flowHash, c.defaultNodes)
	if i < 0 {
		return -1
	}
	index, ok := c.indexByID[c.defaultIDs[i]]
	if !ok {
		return -1
	}
	return index
}

// owner returns the owner of the flow, and false if no member owns flows.
func (v *View) owner(flowHash uint64) (MemberID, bool) {
	i := ranker.Best(flowHash, v.ownerIDs)
	if i < 0 {
		return 0, false
	}
	return MemberID(v.ownerIDs[i]), true
}

// firstMemberIn returns the member in a data centre that ranks first for the flow, other
// than this instance and draining members. It returns false if there is none.
func (v *View) firstMemberIn(flowHash uint64, dataCentre string) (MemberID, bool) {
	var best MemberID
	var bestScore uint64
	for _, m := range v.members {
		if m.ID == v.self || m.Draining || m.DataCentre != dataCentre {
			continue
		}
		if s := ranker.Score(flowHash, uint64(m.ID)); best == 0 || s > bestScore {
			best, bestScore = m.ID, s
		}
	}
	return best, best != 0
}

// isReachable reports whether an instance is a reachable member.
func (v *View) isReachable(id MemberID) bool {
	for _, m := range v.members {
		if m.ID == id {
			return true
		}
	}
	return false
}
