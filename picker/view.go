package picker

import (
	"net/netip"
	"time"

	"almondpick/ranker"
)

// TargetID names the pairing of a service with one of its targets. It is short so
// that hints and replicas stay small; NewPlaceID derives it from the names.
type TargetID uint32

// NewTargetID returns the identity of target in service.
func NewTargetID(service, target string) TargetID {
	return TargetID(ranker.Hash(service + "\x00" + target))
}

// MemberID names an instance in the packets between instances.
type MemberID uint64

// NewMemberID returns the identity of the instance with the given name.
func NewMemberID(name string) MemberID {
	return MemberID(ranker.Hash(name))
}

// Member is a live instance of the fabric group.
type Member struct {
	ID          MemberID
	DataCentre  string
	Draining    bool // it still answers, but owns no flow any more
	Unreachable bool // it is out of reach, but has not left
}

// Target is a target of one service as the view's author judges it.
type Target struct {
	Name            string
	Endpoint        netip.AddrPort
	DataCentre      string
	AcceptsNewFlows bool    // takes new flows
	Failed          bool    // found unfit: an unanswered opening packet may be moved
	Weight          float64 // share of the load it should have; 1 is a full share
}

// ServiceAddress is where callers reach a service.
type ServiceAddress struct {
	Addr     [16]byte
	Port     uint16
	Protocol uint8
}

// Service is one service with its targets.
type Service struct {
	Name      string
	Tenant    string
	Class     string
	Addresses []ServiceAddress
	Targets   []Target
	// DefaultTargets names the targets that defaults are computed from; Next, when not
	// empty, those that the base is about to move to.
	DefaultTargets     []string
	NextDefaultTargets []string
	// Epsilon is the relative load by which the first target in rank may exceed
	// the second before a new flow goes to the second. Negative: never.
	Epsilon      float64
	IdleTimeouts IdleTimeouts
}

// IdleTimeouts holds the times without a packet after which an owner forgets a flow.
// Closing is longer than other instances remember the flow without a packet, so that
// a caller which uses the port again finds nobody with an older answer.
type IdleTimeouts struct {
	Established time.Duration
	Closing     time.Duration
	Opening     time.Duration
	Datagram    time.Duration
}

// DefaultIdleTimeouts returns the times for services that set none.
func DefaultIdleTimeouts() IdleTimeouts {
	return IdleTimeouts{
		Established: time.Hour,
		Closing:     90 * time.Second,
		Opening:     30 * time.Second,
		Datagram:    2 * time.Minute,
	}
}

// place is one pairing of service and target, in the form that lookups want.
type serviceTarget struct {
	id      TargetID
	service *compiledService
	target  Target
}

// compiled is a service with its rankings prepared.
type compiledService struct {
	Service
	address          ServiceAddress // one of the service's addresses
	eligible         []uint64       // place identities that take new flows
	eligibleIndex    []int32
	defaultNodes     []uint64
	defaultIDs       []TargetID
	nextDefaultNodes []uint64
	nextDefaultIDs   []TargetID
	indexByID        map[TargetID]int32
}

// View is an immutable snapshot of what flow decisions rest on. Make one with
// NewView; Picker.SetView puts it into use.
type View struct {
	self MemberID
	// dataCentre is that of self.
	dataCentre      string
	members         []Member
	memberIDs       []uint64 // of all members, self included
	ownerIDs        []uint64 // of the members that own flows
	unreachableIDs  []uint64 // of the members out of reach
	services        map[ServiceAddress]*compiledService
	targets         []serviceTarget
	targetIndexByID map[TargetID]int32
	digest          uint64 // of the serving members and base sets
}

// NewView compiles a view. The members include self unless self must not own.
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

func (v *View) addService(s Service) {
	c := &compiledService{Service: s, indexByID: make(map[TargetID]int32, len(s.Targets))}
	for _, t := range s.Targets {
		id := NewTargetID(s.Name, t.Name)
		index := int32(len(v.targets))
		v.targets = append(v.targets, serviceTarget{id: id, service: c, target: t})
		c.indexByID[id] = index
		v.targetIndexByID[id] = index
		if t.AcceptsNewFlows {
			c.eligible = append(c.eligible, uint64(id))
			c.eligibleIndex = append(c.eligibleIndex, index)
		}
	}
	c.defaultNodes, c.defaultIDs = targetNodes(s.Name, s.DefaultTargets)
	c.nextDefaultNodes, c.nextDefaultIDs = targetNodes(s.Name, s.NextDefaultTargets)
	for _, a := range s.Addresses {
		c.address = a
		v.services[a] = c
	}
}

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

// derivable tells whether every instance would compute place for the flow on its
// own, from the base set and, while the base is moving, from the next one too.
func (c *compiledService) isDefaultTarget(hash uint64, id TargetID) bool {
	i := ranker.Best(hash, c.defaultNodes)
	if i < 0 || c.defaultIDs[i] != id {
		return false
	}
	if len(c.nextDefaultNodes) == 0 {
		return true
	}
	return c.nextDefaultIDs[ranker.Best(hash, c.nextDefaultNodes)] == id
}

// fallback returns the index of the place that the base set gives to the flow, or
// -1 when the base is empty or its target has gone.
func (c *compiledService) defaultTarget(hash uint64) int32 {
	i := ranker.Best(hash, c.defaultNodes)
	if i < 0 {
		return -1
	}
	index, ok := c.indexByID[c.defaultIDs[i]]
	if !ok {
		return -1
	}
	return index
}

// owner returns the serving member that ranks first for the flow; ok is false
// where there is none.
func (v *View) owner(hash uint64) (MemberID, bool) {
	i := ranker.Best(hash, v.ownerIDs)
	if i < 0 {
		return 0, false
	}
	return MemberID(v.ownerIDs[i]), true
}

// nearest returns the member in a data centre that ranks first for the flow.
func (v *View) firstMemberIn(hash uint64, dataCentre string) (MemberID, bool) {
	var best MemberID
	var bestScore uint64
	for _, m := range v.members {
		if m.ID == v.self || m.Draining || m.DataCentre != dataCentre {
			continue
		}
		if s := ranker.Score(hash, uint64(m.ID)); best == 0 || s > bestScore {
			best, bestScore = m.ID, s
		}
	}
	return best, best != 0
}

func (v *View) isReachable(id MemberID) bool {
	for _, m := range v.members {
		if m.ID == id {
			return true
		}
	}
	return false
}
