package picker

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/parser"
)

// pickerGroup is a group of pickers without a network: the tests deliver the packets,
// hints and sync messages between them.
type pickerGroup struct {
	ids     []MemberID
	pickers map[MemberID]*Picker
	now     time.Duration
}

const second = time.Second

func memberName(i int) string { return fmt.Sprintf("i%d", i+1) }

func testMembers(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{ID: NewMemberID(memberName(i)), DataCentre: "dc1"})
	}
	return out
}

var serviceAddr = netip.MustParseAddr("192.0.2.1")

// menusService returns a service with n targets, which all accept new flows and are all
// default targets.
func menusService(n int) Service {
	s := Service{
		Name: "menus", Epsilon: -1, IdleTimeouts: DefaultIdleTimeouts(),
		Addresses: []ServiceAddress{{Addr: serviceAddr.As16(), Port: 443, Protocol: parser.ProtocolTCP}},
	}
	for i := range n {
		name := fmt.Sprintf("10.0.0.%d:6081", i+1)
		s.Targets = append(s.Targets, Target{Name: name, Endpoint: netip.MustParseAddrPort(name), DataCentre: "dc1", AcceptsNewFlows: true, Weight: 1})
		s.DefaultTargets = append(s.DefaultTargets, name)
	}
	return s
}

func newPickerGroup(n int, s Service) *pickerGroup {
	g := &pickerGroup{pickers: make(map[MemberID]*Picker), now: 100 * second}
	for _, m := range testMembers(n) {
		g.ids = append(g.ids, m.ID)
		g.pickers[m.ID] = New(WithHashKey(parser.SipHashKey{K0: 1, K1: 2}))
		g.pickers[m.ID].SetView(g.now, NewView(m.ID, testMembers(n), []Service{s}))
	}
	g.runSyncs()
	return g
}

// setView sets the view of one member.
func (g *pickerGroup) setView(id MemberID, list []Member, services ...Service) {
	g.pickers[id].SetView(g.now, NewView(id, list, services))
}

// runSyncs exchanges sync messages for long enough that all members agree on the view.
func (g *pickerGroup) runSyncs() {
	for range 10 {
		g.now += second
		g.exchangeSyncs()
	}
}

// exchangeSyncs sends one sync message from each member to each other member.
func (g *pickerGroup) exchangeSyncs() {
	for _, from := range g.ids {
		for _, to := range g.pickers[from].OtherMembers() {
			if m, ok := g.pickers[from].NextSync(g.now, to, 100); ok && g.pickers[to] != nil {
				g.pickers[to].ApplySync(g.now, from, m)
			}
		}
	}
}

// deliver passes a packet to a member, and delivers its relays and hints until a member
// decides otherwise than to relay. It returns that decision and the number of relays.
func (g *pickerGroup) deliver(at MemberID, p parser.Packet) (Decision, int) {
	d := g.pickers[at].HandlePacket(g.now, &p)
	relays := 0
	for d.Verdict == Relay {
		relays++
		if g.pickers[d.RelayTo] == nil {
			return d, relays // lost with the instance
		}
		at = d.RelayTo
		d = g.pickers[at].HandleRelayed(g.now, &p, d.RelayHeader)
	}
	g.deliverHint(d.HintToIngress, d.Hint, d.HintToIngress == d.HintToLookupOwner)
	g.deliverHint(d.HintToLookupOwner, d.Hint, true)
	g.deliverHint(d.HintToTargetDataCentre, d.Hint, false)
	if d.HintToAllMembers {
		for _, id := range g.pickers[at].OtherMembers() {
			g.deliverHint(id, d.Hint, false)
		}
	}
	return d, relays
}

func (g *pickerGroup) deliverHint(to MemberID, h Hint, receiverOwnsFlow bool) {
	if p := g.pickers[to]; p != nil {
		h.ReceiverOwnsFlow = receiverOwnsFlow
		p.ApplyHint(g.now, h)
	}
}

func key(n int) parser.FlowKey {
	caller := netip.AddrFrom4([4]byte{198, 51, byte(n >> 8), byte(n)})
	return parser.FlowKey{CallerIP: caller.As16(), CallerPort: 40000, ServiceIP: serviceAddr.As16(), ServicePort: 443, Protocol: parser.ProtocolTCP}
}

func syn(n int) parser.Packet        { return parser.Packet{Key: key(n), SYN: true, TCPSequence: uint32(n)} }
func dataPacket(n int) parser.Packet { return parser.Packet{Key: key(n)} }

// openFlows opens n flows at the members in turn and returns the target of each.
func (g *pickerGroup) openFlows(is *is.I, n int) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range n {
		d, _ := g.deliver(g.ids[i%len(g.ids)], syn(i))
		is.Equal(d.Verdict, Forward)
		out = append(out, d.Endpoint)
	}
	return out
}

// checkTargets checks that later packets of the flows go to the targets of their opening
// packets, from each of the given members.
func (g *pickerGroup) checkTargets(is *is.I, targets []netip.AddrPort, at ...MemberID) {
	for i, want := range targets {
		for _, id := range at {
			d, _ := g.deliver(id, dataPacket(i))
			is.Equal(d.Verdict, Forward)
			is.Equal(d.Endpoint, want)
		}
	}
}

func TestMembersWithDifferentViewsAgreeOnAnEstablishedFlow(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(4, s)
	// Only the third member knows that the fourth is draining, so it takes itself for
	// the owner of more flows.
	members := testMembers(4)
	members[3].Draining = true
	g.setView(g.ids[2], members, s)
	targets := g.openFlows(is, 200)
	g.checkTargets(is, targets, g.ids...)
	g.exchangeSyncs()
	g.checkTargets(is, targets, g.ids...)
}

func TestFlowsKeepTargetWhileItDrains(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(3, s)
	targets := g.openFlows(is, 200)
	s.Targets[0].AcceptsNewFlows = false
	for _, id := range g.ids {
		g.setView(id, testMembers(3), s)
	}
	g.checkTargets(is, targets, g.ids...)
	for i := 200; i < 400; i++ {
		d, _ := g.deliver(g.ids[i%3], syn(i))
		is.True(d.Endpoint != s.Targets[0].Endpoint) // no new flow goes to the draining target
	}
}

func TestFlowsKeepTargetWhenDefaultTargetsChange(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(3, s)
	targets := g.openFlows(is, 200)
	changing := s
	changing.NextDefaultTargets = s.DefaultTargets[:4]
	for _, id := range g.ids {
		g.setView(id, testMembers(3), changing)
	}
	g.runSyncs()
	changed := s
	changed.DefaultTargets = s.DefaultTargets[:4]
	for _, id := range g.ids {
		g.setView(id, testMembers(3), changed) // one member after the other, so their views differ meanwhile
		g.checkTargets(is, targets, g.ids...)
	}
}

func TestOwnerFailsAfterNonDefaultFlowsWereReplicated(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(4, s)
	s.Targets[0].AcceptsNewFlows = false // flows with this default target are non-default flows
	for _, id := range g.ids {
		g.setView(id, testMembers(4), s)
	}
	g.runSyncs()
	targets := g.openFlows(is, 400)
	g.now += second
	g.exchangeSyncs()
	members := testMembers(4)
	members[1].Unreachable = true
	delete(g.pickers, g.ids[1])
	remaining := []MemberID{g.ids[0], g.ids[2], g.ids[3]}
	g.ids = remaining
	for _, id := range remaining {
		g.setView(id, members, s)
	}
	for i, want := range targets {
		d, _ := g.deliver(remaining[i%3], dataPacket(i))
		for try := 0; d.Verdict == Relay && try < 5; try++ { // relayed to the failed member; the caller retransmits
			g.now += second
			d, _ = g.deliver(remaining[i%3], dataPacket(i))
		}
		is.Equal(d.Endpoint, want)
	}
}

func TestOwnerFailsBeforeReplicationLosesOnlyNonDefaultFlows(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(4, s)
	s.Targets[0].AcceptsNewFlows = false
	for _, id := range g.ids {
		g.setView(id, testMembers(4), s)
	}
	g.runSyncs()
	targets := g.openFlows(is, 400)
	nonDefaultFlows := len(g.pickers[g.ids[1]].replication.records)
	is.True(nonDefaultFlows > 0)
	members := testMembers(4)
	members[1].Draining = true
	delete(g.pickers, g.ids[1])
	remaining := []MemberID{g.ids[0], g.ids[2], g.ids[3]}
	for _, id := range remaining {
		g.setView(id, append(members[:1:1], members[2:]...), s)
	}
	brokenFlows := 0
	for i, want := range targets {
		if d, _ := g.deliver(remaining[i%3], dataPacket(i)); d.Endpoint != want {
			brokenFlows++
		}
	}
	is.True(brokenFlows <= nonDefaultFlows)
}

func TestNewOwnerLooksUpFlowsOfPreviousOwner(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	s.Targets[0].AcceptsNewFlows = false
	g := newPickerGroup(3, s)
	targets := g.openFlows(is, 300)
	joined := NewMemberID(memberName(3))
	g.ids = append(g.ids, joined)
	g.pickers[joined] = New(WithHashKey(parser.SipHashKey{K0: 1, K1: 2}))
	g.setView(joined, testMembers(4), s) // the others do not know the new member yet
	g.checkTargets(is, targets, joined)
	for _, id := range g.ids {
		g.setView(id, testMembers(4), s)
	}
	g.checkTargets(is, targets, g.ids...)
	g.runSyncs()
	g.checkTargets(is, targets, g.ids...)
}

func TestPlannedStopHandsOverAllFlows(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	s.Targets[0].AcceptsNewFlows = false
	g := newPickerGroup(3, s)
	targets := g.openFlows(is, 300)
	members := testMembers(3)
	members[0].Draining = true
	for _, id := range g.ids {
		g.setView(id, members, s)
	}
	stopping := g.pickers[g.ids[0]]
	for stopping.UnacknowledgedRecords() > 0 || !stopping.AllViewsAgree() {
		stopping.PublishAll()
		g.now += second / 2
		g.exchangeSyncs()
	}
	delete(g.pickers, g.ids[0])
	remaining := g.ids[1:]
	for _, id := range remaining {
		g.setView(id, members[1:], s)
	}
	g.checkTargets(is, targets, remaining...)
}

func TestCallerReusesPortImmediately(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(3, s)
	targets := g.openFlows(is, 100)
	g.runSyncs()
	g.checkTargets(is, targets, g.ids...)
	for i := range targets {
		targetIndex := -1
		for n := range s.Targets {
			if s.Targets[n].Endpoint == targets[i] {
				targetIndex = n
			}
		}
		changed := s
		changed.Targets = append([]Target(nil), s.Targets...)
		changed.Targets[targetIndex].AcceptsNewFlows = false // the next flow of the caller has to go to another target
		for _, id := range g.ids {
			g.setView(id, testMembers(3), changed)
		}
		again := syn(i)
		again.TCPSequence += 1000
		d, _ := g.deliver(g.ids[i%3], again)
		is.True(d.Endpoint != targets[i])
		for _, id := range g.ids { // no instance has the older flow in its table
			later, _ := g.deliver(id, dataPacket(i))
			is.Equal(later.Endpoint, d.Endpoint)
		}
	}
}

func TestLateHintExpiresAfterFlowEnd(t *testing.T) {
	is := is.New(t)
	g := newPickerGroup(3, menusService(5))
	d, _ := g.deliver(g.ids[0], syn(1))
	fin := dataPacket(1)
	fin.FINOrRST = true
	g.deliver(g.ids[1], fin)
	member, endedFlow := g.ids[2], key(1)
	g.pickers[member].ApplyHint(g.now, Hint{FlowHash: endedFlow.Hash(parser.SipHashKey{K0: 1, K1: 2}), Target: d.Hint.Target})
	g.now += 2 * hintIdleTimeout
	for range 64 {
		g.pickers[member].Tick(g.now)
	}
	is.Equal(g.pickers[member].EntryCounts().Hints, 0)
}

func TestEndpointReusedByAnotherServiceGetsNoOldFlows(t *testing.T) {
	is := is.New(t)
	s := menusService(3)
	g := newPickerGroup(2, s)
	targets := g.openFlows(is, 60)
	changed := s
	changed.Targets = s.Targets[1:] // the first endpoint belongs to another service now
	for _, id := range g.ids {
		g.setView(id, testMembers(2), changed)
	}
	for i := range targets {
		for _, id := range g.ids {
			d, _ := g.deliver(id, dataPacket(i))
			is.True(d.Endpoint != s.Targets[0].Endpoint)
		}
	}
}

func TestRetransmittedSYNMovesOnlyFromFailedTarget(t *testing.T) {
	is := is.New(t)
	s := menusService(3)
	g := newPickerGroup(1, s)
	first, _ := g.deliver(g.ids[0], syn(1))
	s.Targets[0].AcceptsNewFlows, s.Targets[1].AcceptsNewFlows, s.Targets[2].AcceptsNewFlows = false, false, false
	for n := range s.Targets {
		if s.Targets[n].Endpoint != first.Endpoint {
			s.Targets[n].AcceptsNewFlows = true
		}
	}
	g.setView(g.ids[0], testMembers(1), s)
	again, _ := g.deliver(g.ids[0], syn(1))
	is.Equal(again.Endpoint, first.Endpoint) // the target is only slow or draining
	for n := range s.Targets {
		s.Targets[n].Failed = s.Targets[n].Endpoint == first.Endpoint
	}
	g.setView(g.ids[0], testMembers(1), s)
	again, _ = g.deliver(g.ids[0], syn(1))
	is.True(again.Endpoint != first.Endpoint)
	newEndpoint := again.Endpoint
	g.deliver(g.ids[0], dataPacket(1)) // a confirmed flow stays on its target
	for n := range s.Targets {
		s.Targets[n].Failed = s.Targets[n].Endpoint == newEndpoint
	}
	g.setView(g.ids[0], testMembers(1), s)
	again, _ = g.deliver(g.ids[0], syn(1))
	is.Equal(again.Endpoint, newEndpoint)
}

func TestUnknownAddressIsDroppedAndMissingTargetRefused(t *testing.T) {
	is := is.New(t)
	s := menusService(2)
	g := newPickerGroup(1, s)
	p := syn(1)
	p.Key.ServicePort = 444
	d, _ := g.deliver(g.ids[0], p)
	is.Equal(d.Verdict, Drop)
	is.Equal(d.Reason, ReasonNoAddress)
	s.Targets[0].AcceptsNewFlows, s.Targets[1].AcceptsNewFlows = false, false
	g.setView(g.ids[0], testMembers(1), s)
	d, _ = g.deliver(g.ids[0], syn(1))
	is.Equal(d.Verdict, Refuse)
}

func TestTableLimits(t *testing.T) {
	is := is.New(t)
	g := newPickerGroup(2, menusService(3))
	for _, p := range g.pickers {
		WithTableLimits(50, 40, 30)(p)
	}
	for i := range 1000 {
		g.deliver(g.ids[0], syn(i))
		g.deliver(g.ids[1], dataPacket(i))
	}
	for _, p := range g.pickers {
		sizes := p.EntryCounts()
		is.True(sizes.Owned <= 50 && sizes.Hints <= 40 && sizes.Replicas <= 30)
		is.True(p.Counters().EvictedOwned > 0)
	}
}

func TestLostSyncMessagesAreRepeated(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	s.Targets[0].AcceptsNewFlows = false
	g := newPickerGroup(2, s)
	targets := g.openFlows(is, 100)
	for range 3 { // all of these messages are lost
		g.now += second / 2
		for _, from := range g.ids {
			for _, to := range g.pickers[from].OtherMembers() {
				g.pickers[from].NextSync(g.now, to, 10)
			}
		}
	}
	for range 20 {
		g.now += second / 2
		g.exchangeSyncs()
	}
	is.Equal(g.pickers[g.ids[0]].UnacknowledgedRecords()+g.pickers[g.ids[1]].UnacknowledgedRecords(), 0)
	nonDefaultFlows := len(g.pickers[g.ids[0]].replication.records)
	is.Equal(g.pickers[g.ids[1]].EntryCounts().Replicas, nonDefaultFlows)
	g.checkTargets(is, targets, g.ids...)
}

func BenchmarkKnownFlow(b *testing.B) {
	g := newPickerGroup(7, menusService(18))
	const flows = 1 << 14
	p := g.pickers[g.ids[0]]
	var packets []parser.Packet
	for i := range flows {
		open := syn(i)
		if d := p.HandlePacket(g.now, &open); d.Verdict == Forward {
			packets = append(packets, dataPacket(i))
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		p.HandlePacket(g.now, &packets[i%len(packets)])
		i++
	}
}

// BenchmarkMemory reports the heap size of one owned flow, for several table sizes.
func BenchmarkMemory(b *testing.B) {
	for _, flows := range []int{20000, 100000, 500000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				g := newPickerGroup(1, menusService(18))
				p := g.pickers[g.ids[0]]
				for i := range flows {
					open := syn(i)
					open.Key.CallerPort = uint16(i >> 16)
					p.HandlePacket(g.now, &open)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(p.EntryCounts().Owned), "bytes/flow")
			}
		})
	}
}

// TestNewOwnerReportsIncompleteUntilPreviousOwnerSynced guards against broken flows after
// a partition: the records of the previous owner were still queued, because the budget
// limits the records per message, when the new owner reported that it knew all non-default
// flows.
func TestNewOwnerReportsIncompleteUntilPreviousOwnerSynced(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	s.Targets[0].AcceptsNewFlows = false
	g := newPickerGroup(1, s)
	previousOwner := g.ids[0]
	targets := g.openFlows(is, 400)
	g.runSyncs()
	for i := 1; i < 3; i++ {
		id := NewMemberID(memberName(i))
		g.ids = append(g.ids, id)
		g.pickers[id] = New(WithHashKey(parser.SipHashKey{K0: 1, K1: 2}))
	}
	for _, id := range g.ids {
		g.setView(id, testMembers(3), s)
	}
	reportedComplete := false
	for range 40 { // the previous owner sends two records per message
		g.now += second / 2
		for _, from := range g.ids {
			for _, to := range g.pickers[from].OtherMembers() {
				limit := 100
				if from == previousOwner {
					limit = 2
				}
				m, _ := g.pickers[from].NextSync(g.now, to, limit)
				g.pickers[to].ApplySync(g.now, from, m)
				reportedComplete = reportedComplete || (from != previousOwner && m.SenderComplete && g.pickers[previousOwner].UnacknowledgedRecords() > 0)
			}
		}
	}
	is.True(g.pickers[previousOwner].UnacknowledgedRecords() > 0)
	is.True(!reportedComplete)
	g.checkTargets(is, targets, g.ids...)
}
