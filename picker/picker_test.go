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

// group is a few pickers whose messages are carried by hand.
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

// menus is a service with n targets, all fit and all in the base set.
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

// view gives one member its own view.
func (g *pickerGroup) setView(id MemberID, list []Member, services ...Service) {
	g.pickers[id].SetView(g.now, NewView(id, list, services))
}

// settle lets the streams run until all members have agreed on the view.
func (g *pickerGroup) runSyncs() {
	for range 10 {
		g.now += second
		g.exchangeSyncs()
	}
}

func (g *pickerGroup) exchangeSyncs() {
	for _, from := range g.ids {
		for _, to := range g.pickers[from].OtherMembers() {
			if m, ok := g.pickers[from].NextSync(g.now, to, 100); ok && g.pickers[to] != nil {
				g.pickers[to].ApplySync(g.now, from, m)
			}
		}
	}
}

// hand gives a packet to a member and carries relays and hints until it ends. It
// returns the last decision and the number of relays.
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

func (g *pickerGroup) deliverHint(to MemberID, h Hint, authoritative bool) {
	if p := g.pickers[to]; p != nil {
		h.ReceiverOwnsFlow = authoritative
		p.ApplyHint(g.now, h)
	}
}

func flowKey(n int) parser.FlowKey {
	caller := netip.AddrFrom4([4]byte{198, 51, byte(n >> 8), byte(n)})
	return parser.FlowKey{CallerIP: caller.As16(), CallerPort: 40000, ServiceIP: serviceAddr.As16(), ServicePort: 443, Protocol: parser.ProtocolTCP}
}

func synPacket(n int) parser.Packet {
	return parser.Packet{Key: flowKey(n), SYN: true, TCPSequence: uint32(n)}
}
func dataPacket(n int) parser.Packet { return parser.Packet{Key: flowKey(n)} }

// openAll opens flows at members in turn and returns where each went.
func (g *pickerGroup) openFlows(is *is.I, n int) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range n {
		d, _ := g.deliver(g.ids[i%len(g.ids)], synPacket(i))
		is.Equal(d.Verdict, Forward)
		out = append(out, d.Endpoint)
	}
	return out
}

// stay checks that packets of the flows go where the flows were opened to, from
// whichever member they reach.
func (g *pickerGroup) checkTargets(is *is.I, where []netip.AddrPort, at ...MemberID) {
	for i, want := range where {
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
	// Only the third knows that the fourth has left; it thinks itself owner of more.
	left := testMembers(4)
	left[3].Draining = true
	g.setView(g.ids[2], left, s)
	where := g.openFlows(is, 200)
	g.checkTargets(is, where, g.ids...)
	g.exchangeSyncs()
	g.checkTargets(is, where, g.ids...)
}

func TestFlowsKeepTargetWhileItDrains(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(3, s)
	where := g.openFlows(is, 200)
	s.Targets[0].AcceptsNewFlows = false
	for _, id := range g.ids {
		g.setView(id, testMembers(3), s)
	}
	g.checkTargets(is, where, g.ids...)
	for i := 200; i < 400; i++ {
		d, _ := g.deliver(g.ids[i%3], synPacket(i))
		is.True(d.Endpoint != s.Targets[0].Endpoint) // no new flow on a target that leaves
	}
}

func TestFlowsKeepTargetWhenDefaultTargetsChange(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(3, s)
	where := g.openFlows(is, 200)
	next := s
	next.NextDefaultTargets = s.DefaultTargets[:4]
	for _, id := range g.ids {
		g.setView(id, testMembers(3), next)
	}
	g.runSyncs()
	moved := s
	moved.DefaultTargets = s.DefaultTargets[:4]
	for _, id := range g.ids {
		g.setView(id, testMembers(3), moved) // one after the other: views differ meanwhile
		g.checkTargets(is, where, g.ids...)
	}
}

func TestOwnerFailsAfterNonDefaultFlowsWereReplicated(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(4, s)
	s.Targets[0].AcceptsNewFlows = false // whatever would go there is an exception
	for _, id := range g.ids {
		g.setView(id, testMembers(4), s)
	}
	g.runSyncs()
	where := g.openFlows(is, 400)
	g.now += second
	g.exchangeSyncs()
	dead := testMembers(4)
	dead[1].Unreachable = true
	delete(g.pickers, g.ids[1])
	rest := []MemberID{g.ids[0], g.ids[2], g.ids[3]}
	g.ids = rest
	for _, id := range rest {
		g.setView(id, dead, s)
	}
	for i, want := range where {
		d, _ := g.deliver(rest[i%3], dataPacket(i))
		for try := 0; d.Verdict == Relay && try < 5; try++ { // asked the dead one; the caller sends again
			g.now += second
			d, _ = g.deliver(rest[i%3], dataPacket(i))
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
	where := g.openFlows(is, 400)
	exceptions := len(g.pickers[g.ids[1]].replication.records)
	is.True(exceptions > 0)
	dead := testMembers(4)
	dead[1].Draining = true
	delete(g.pickers, g.ids[1])
	rest := []MemberID{g.ids[0], g.ids[2], g.ids[3]}
	for _, id := range rest {
		g.setView(id, append(dead[:1:1], dead[2:]...), s)
	}
	broken := 0
	for i, want := range where {
		if d, _ := g.deliver(rest[i%3], dataPacket(i)); d.Endpoint != want {
			broken++
		}
	}
	is.True(broken <= exceptions)
}

func TestNewOwnerLooksUpFlowsOfPreviousOwner(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	s.Targets[0].AcceptsNewFlows = false
	g := newPickerGroup(3, s)
	where := g.openFlows(is, 300)
	joined := NewMemberID(memberName(3))
	g.ids = append(g.ids, joined)
	g.pickers[joined] = New(WithHashKey(parser.SipHashKey{K0: 1, K1: 2}))
	g.setView(joined, testMembers(4), s) // the others do not know of it yet
	g.checkTargets(is, where, joined)
	for _, id := range g.ids {
		g.setView(id, testMembers(4), s)
	}
	g.checkTargets(is, where, g.ids...)
	g.runSyncs()
	g.checkTargets(is, where, g.ids...)
}

func TestPlannedStopHandsOverAllFlows(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	s.Targets[0].AcceptsNewFlows = false
	g := newPickerGroup(3, s)
	where := g.openFlows(is, 300)
	leaving := testMembers(3)
	leaving[0].Draining = true
	for _, id := range g.ids {
		g.setView(id, leaving, s)
	}
	stopping := g.pickers[g.ids[0]]
	for stopping.UnacknowledgedRecords() > 0 || !stopping.AllViewsAgree() {
		stopping.PublishAll()
		g.now += second / 2
		g.exchangeSyncs()
	}
	delete(g.pickers, g.ids[0])
	rest := g.ids[1:]
	for _, id := range rest {
		g.setView(id, leaving[1:], s)
	}
	g.checkTargets(is, where, rest...)
}

func TestCallerReusesPortImmediately(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	g := newPickerGroup(3, s)
	where := g.openFlows(is, 100)
	g.runSyncs()
	g.checkTargets(is, where, g.ids...)
	for i := range where {
		target := -1
		for n := range s.Targets {
			if s.Targets[n].Endpoint == where[i] {
				target = n
			}
		}
		gone := s
		gone.Targets = append([]Target(nil), s.Targets...)
		gone.Targets[target].AcceptsNewFlows = false // the caller's next flow has to go elsewhere
		for _, id := range g.ids {
			g.setView(id, testMembers(3), gone)
		}
		again := synPacket(i)
		again.TCPSequence += 1000
		d, _ := g.deliver(g.ids[i%3], again)
		is.True(d.Endpoint != where[i])
		for _, id := range g.ids { // no instance remembers the older flow
			later, _ := g.deliver(id, dataPacket(i))
			is.Equal(later.Endpoint, d.Endpoint)
		}
	}
}

func TestLateHintExpiresAfterFlowEnd(t *testing.T) {
	is := is.New(t)
	g := newPickerGroup(3, menusService(5))
	d, _ := g.deliver(g.ids[0], synPacket(1))
	fin := dataPacket(1)
	fin.FINOrRST = true
	g.deliver(g.ids[1], fin)
	late, ended := g.ids[2], flowKey(1)
	g.pickers[late].ApplyHint(g.now, Hint{FlowHash: ended.Hash(parser.SipHashKey{K0: 1, K1: 2}), Target: d.Hint.Target})
	g.now += 2 * hintIdleTimeout
	for range 64 {
		g.pickers[late].Tick(g.now)
	}
	is.Equal(g.pickers[late].EntryCounts().Hints, 0)
}

func TestEndpointReusedByAnotherJobGetsNoOldFlows(t *testing.T) {
	is := is.New(t)
	s := menusService(3)
	g := newPickerGroup(2, s)
	where := g.openFlows(is, 60)
	moved := s
	moved.Targets = s.Targets[1:] // the first endpoint serves photo packs now
	for _, id := range g.ids {
		g.setView(id, testMembers(2), moved)
	}
	for i := range where {
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
	first, _ := g.deliver(g.ids[0], synPacket(1))
	s.Targets[0].AcceptsNewFlows, s.Targets[1].AcceptsNewFlows, s.Targets[2].AcceptsNewFlows = false, false, false
	for n := range s.Targets {
		if s.Targets[n].Endpoint != first.Endpoint {
			s.Targets[n].AcceptsNewFlows = true
		}
	}
	g.setView(g.ids[0], testMembers(1), s)
	again, _ := g.deliver(g.ids[0], synPacket(1))
	is.Equal(again.Endpoint, first.Endpoint) // merely slow or leaving
	for n := range s.Targets {
		s.Targets[n].Failed = s.Targets[n].Endpoint == first.Endpoint
	}
	g.setView(g.ids[0], testMembers(1), s)
	again, _ = g.deliver(g.ids[0], synPacket(1))
	is.True(again.Endpoint != first.Endpoint)
	settled := again.Endpoint
	g.deliver(g.ids[0], dataPacket(1)) // from here on the flow stays
	for n := range s.Targets {
		s.Targets[n].Failed = s.Targets[n].Endpoint == settled
	}
	g.setView(g.ids[0], testMembers(1), s)
	again, _ = g.deliver(g.ids[0], synPacket(1))
	is.Equal(again.Endpoint, settled)
}

func TestUnknownAddressIsDroppedAndNoTargetRefused(t *testing.T) {
	is := is.New(t)
	s := menusService(2)
	g := newPickerGroup(1, s)
	p := synPacket(1)
	p.Key.ServicePort = 444
	d, _ := g.deliver(g.ids[0], p)
	is.Equal(d.Verdict, Drop)
	is.Equal(d.Reason, ReasonNoAddress)
	s.Targets[0].AcceptsNewFlows, s.Targets[1].AcceptsNewFlows = false, false
	g.setView(g.ids[0], testMembers(1), s)
	d, _ = g.deliver(g.ids[0], synPacket(1))
	is.Equal(d.Verdict, Refuse)
}

func TestTableLimits(t *testing.T) {
	is := is.New(t)
	g := newPickerGroup(2, menusService(3))
	for _, p := range g.pickers {
		WithTableLimits(50, 40, 30)(p)
	}
	for i := range 1000 {
		g.deliver(g.ids[0], synPacket(i))
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
	where := g.openFlows(is, 100)
	for range 3 { // all lost
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
	total := len(g.pickers[g.ids[0]].replication.records)
	is.Equal(g.pickers[g.ids[1]].EntryCounts().Replicas, total)
	g.checkTargets(is, where, g.ids...)
}

func BenchmarkKnownFlow(b *testing.B) {
	g := newPickerGroup(7, menusService(18))
	const flows = 1 << 14
	p := g.pickers[g.ids[0]]
	var packets []parser.Packet
	for i := range flows {
		open := synPacket(i)
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

// BenchmarkMemory reports the heap that one owned flow takes, at several sizes.
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
					one := synPacket(i)
					one.Key.CallerPort = uint16(i >> 16)
					p.HandlePacket(g.now, &one)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(p.EntryCounts().Owned), "bytes/flow")
			}
		})
	}
}

// TestNewOwnerClaimsNothingBeforeItHasWhatTheOldOneKnew is a flow that broke after a
// partition: the old owner's records were still waiting for the budget when the new
// owner claimed to know all exceptions.
func TestNewOwnerReportsIncompleteUntilPreviousOwnerSynced(t *testing.T) {
	is := is.New(t)
	s := menusService(5)
	s.Targets[0].AcceptsNewFlows = false
	g := newPickerGroup(1, s)
	old := g.ids[0]
	where := g.openFlows(is, 400)
	g.runSyncs()
	for i := 1; i < 3; i++ {
		id := NewMemberID(memberName(i))
		g.ids = append(g.ids, id)
		g.pickers[id] = New(WithHashKey(parser.SipHashKey{K0: 1, K1: 2}))
	}
	for _, id := range g.ids {
		g.setView(id, testMembers(3), s)
	}
	claimed := false
	for range 40 { // the old owner sends two records at a time
		g.now += second / 2
		for _, from := range g.ids {
			for _, to := range g.pickers[from].OtherMembers() {
				limit := 100
				if from == old {
					limit = 2
				}
				m, _ := g.pickers[from].NextSync(g.now, to, limit)
				g.pickers[to].ApplySync(g.now, from, m)
				claimed = claimed || (from != old && m.SenderComplete && g.pickers[old].UnacknowledgedRecords() > 0)
			}
		}
	}
	is.True(g.pickers[old].UnacknowledgedRecords() > 0)
	is.True(!claimed)
	g.checkTargets(is, where, g.ids...)
}
