package announcer

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"almondpick/gossiper"
)

const simulatedTime = second // no target falls silent during the simulation

// simulation holds instances with their registries, records and the departures that they have
// applied, and targets that announce themselves to them. Calls of targets and records between
// instances are held up, repeated, reordered and lost.
type simulation struct {
	t         *rapid.T
	instances []*simulatedInstance
	log       []Departure
	targets   []*simulatedTarget // all that ever started
	heldCalls []simulatedCall
}

// simulatedInstance does what a controller does around its registry.
type simulatedInstance struct {
	sim        *simulation
	registry   *Registry
	records    map[string]gossiper.Record
	merged     []gossiper.Record // not passed to the registry yet
	inbox      []gossiper.Record // from other instances
	departures map[netip.AddrPort]Departure
	applied    int // departures of the log
	configured bool
}

// simulatedTarget is one incarnation of a target.
type simulatedTarget struct {
	announcement Announcement
	alive        bool
	departed     bool // it was told that its notice of draining is recorded
}

// simulatedCall is a call of a target, as it was sent.
type simulatedCall struct {
	announcement Announcement
	deregisters  bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t}
	for range 3 {
		i := &simulatedInstance{sim: s, departures: make(map[netip.AddrPort]Departure)}
		i.restart()
		s.instances = append(s.instances, i)
	}
	return s
}

// restart forgets all but the departures, which are durable.
func (i *simulatedInstance) restart() {
	i.records = make(map[string]gossiper.Record)
	i.merged, i.inbox = nil, nil
	i.registry = NewRegistry("i1", WithNamedJobs(func(job string) bool { return i.configured && job != "legacy-print" }))
}

// Broadcast implements Publisher.
func (i *simulatedInstance) Broadcast(r gossiper.Record) bool {
	if !i.merge(r) {
		return false
	}
	for _, other := range i.sim.instances {
		if other != i {
			other.inbox = append(other.inbox, r)
		}
	}
	return true
}

// RelayHeartbeats implements Publisher.
func (*simulatedInstance) RelayHeartbeats(string, []gossiper.Record) {}

func (i *simulatedInstance) merge(r gossiper.Record) bool {
	if old, ok := i.records[r.Key]; ok && !r.Supersedes(old) {
		return false
	}
	i.records[r.Key] = r
	i.merged = append(i.merged, r)
	return true
}

// handleMerged passes merged records to the registry, with the known departures applied.
func (i *simulatedInstance) handleMerged() {
	for len(i.merged) > 0 {
		r := i.merged[0]
		i.merged = i.merged[1:]
		endpoint, _ := EndpointFromKey(r.Key)
		if d, ok := i.departures[endpoint]; ok {
			if next, changed := d.ApplyTo(r); changed && i.Broadcast(next) {
				r = next
			}
		}
		i.registry.HandleRecord(simulatedTime, r)
	}
}

// applyLog applies the departures that this instance has not applied yet.
func (i *simulatedInstance) applyLog() {
	for _, d := range i.sim.log[i.applied:] {
		if held, ok := i.departures[d.Endpoint]; !ok || !held.AtLeastAsNewAs(d) {
			i.departures[d.Endpoint] = d
		}
		if r, ok := i.records[TargetKey(d.Endpoint)]; ok {
			i.merged = append(i.merged, r)
		}
	}
	i.applied = len(i.sim.log)
	i.handleMerged()
}

// recordDeparture records the departure of a target in the log and reports whether its record
// shows one.
func (i *simulatedInstance) recordDeparture(endpoint netip.AddrPort, identity uint64) bool {
	d, ok := DepartureFromRecord(i.records[TargetKey(endpoint)])
	if !ok || d.Identity != identity {
		return false
	}
	i.sim.log = append(i.sim.log, d)
	i.applyLog()
	return true
}

// call handles a call of a target and returns whether it is acknowledged.
func (i *simulatedInstance) call(c simulatedCall) bool {
	defer i.handleMerged()
	if c.deregisters {
		return i.deregister(c.announcement.Identity)
	}
	if i.registry.HandleAnnouncement(simulatedTime, c.announcement, i) != nil {
		return false
	}
	i.handleMerged()
	return !c.announcement.Leaves() || i.recordDeparture(c.announcement.Endpoint, c.announcement.Identity)
}

func (i *simulatedInstance) deregister(identity uint64) bool {
	endpoint, outcome := i.registry.Deregister(simulatedTime, identity, i)
	if outcome == NotDraining {
		i.applyLog()
		endpoint, outcome = i.registry.Deregister(simulatedTime, identity, i)
	}
	i.handleMerged()
	return outcome == Ended && i.recordDeparture(endpoint, identity)
}

func (s *simulation) anyInstance() *simulatedInstance {
	return rapid.SampledFrom(s.instances).Draw(s.t, "instance")
}

// liveTarget returns a target that is alive, or nil.
func (s *simulation) liveTarget() *simulatedTarget {
	var live []*simulatedTarget
	for _, target := range s.targets {
		if target.alive {
			live = append(live, target)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return rapid.SampledFrom(live).Draw(s.t, "target")
}

// start starts a target at a free endpoint: under an identity that was used before, or a new one.
func (s *simulation) start() {
	endpoint := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 2).Draw(s.t, "endpoint"))}), 80)
	identity := rapid.Uint64Range(1, 3).Draw(s.t, "identity")
	for _, target := range s.targets {
		if target.alive && (target.announcement.Endpoint == endpoint || target.announcement.Identity == identity) {
			return
		}
	}
	job := rapid.SampledFrom([]string{"menus", "packs"}).Draw(s.t, "job")
	s.targets = append(s.targets, &simulatedTarget{alive: true, announcement: Announcement{
		Endpoint: endpoint, Identity: identity, Job: job, Slots: 1, Incarnation: uint64(len(s.targets) + 1),
	}})
}

// send sends a call of a target: an instance handles it now, and it may arrive once more later. Only
// the answer to a notice of draining is a promise to this incarnation: a deregistration names no
// incarnation, and a target that sends one without that promise is found out by its silence.
func (s *simulation) send(target *simulatedTarget, deregisters bool) {
	target.announcement.Sequence++
	c := simulatedCall{announcement: target.announcement, deregisters: deregisters}
	fate := rapid.SampledFrom([]string{"arrives", "held up", "repeated"}).Draw(s.t, "fate")
	if fate != "arrives" {
		s.heldCalls = append(s.heldCalls, c)
	}
	if fate != "held up" && s.anyInstance().call(c) && !deregisters && c.announcement.Leaves() {
		target.departed = true
	}
}

// announceOdd has another writer announce a target with one thing wrong.
func (s *simulation) announceOdd() {
	target := s.liveTarget()
	if target == nil {
		return
	}
	odd := target.announcement
	switch rapid.SampledFrom([]string{"copied", "unnamed", "unnamed, drains"}).Draw(s.t, "odd entry") {
	case "copied":
		odd.State, odd.Sequence = Serving, odd.Sequence+1000
	case "unnamed":
		odd.Job, odd.Incarnation, odd.Identity = "legacy-print", 1000, rapid.Uint64Range(1, 9).Draw(s.t, "odd identity")
	default:
		odd.Job, odd.Incarnation, odd.State = "legacy-print", 1000, Draining
	}
	s.anyInstance().call(simulatedCall{announcement: odd})
}

// deliverHeld delivers one call that was held up, to an instance of its choice.
func (s *simulation) deliverHeld() {
	if len(s.heldCalls) == 0 {
		return
	}
	n := rapid.IntRange(0, len(s.heldCalls)-1).Draw(s.t, "held call")
	c := s.heldCalls[n]
	s.heldCalls = append(s.heldCalls[:n:n], s.heldCalls[n+1:]...)
	s.anyInstance().call(c)
}

// deliverRecords delivers some records to an instance, in any order, and loses the others.
func (s *simulation) deliverRecords() {
	i := s.anyInstance()
	inbox := rapid.Permutation(i.inbox).Draw(s.t, "records")
	i.inbox = nil
	for _, r := range inbox[:rapid.IntRange(0, len(inbox)).Draw(s.t, "delivered")] {
		i.merge(r)
		i.handleMerged()
	}
}

// settle lets every held message arrive, every live target announce itself, and the instances
// exchange all records and apply the log.
func (s *simulation) settle() {
	for len(s.heldCalls) > 0 {
		s.deliverHeld()
	}
	for _, i := range s.instances {
		i.configured = true
	}
	for range 2 {
		s.exchangeAll()
		for _, target := range s.targets {
			if target.alive {
				target.announcement.Sequence++
				c := simulatedCall{announcement: target.announcement}
				if s.anyInstance().call(c) && target.announcement.Leaves() {
					target.departed = true
				}
			}
		}
	}
	s.exchangeAll()
}

func (s *simulation) exchangeAll() {
	for range 4 {
		for _, i := range s.instances {
			i.applyLog()
			for _, other := range s.instances {
				for _, r := range other.records {
					i.merge(r)
				}
			}
			i.handleMerged()
		}
	}
}

// check fails unless every live target is known as itself and gets work, and none that was told
// that its departure is recorded does.
func (s *simulation) check() {
	for n, i := range s.instances {
		for _, target := range s.targets {
			a := target.announcement
			known, ok := i.registry.targets[a.Endpoint]
			accepts := ok && known.Identity == a.Identity && known.Incarnation == a.Incarnation && known.AcceptsNewWork(simulatedTime)
			if target.alive && !a.Leaves() && !accepts {
				s.t.Fatalf("instance %d gives no work to %+v, and knows %+v", n, a, known)
			}
			if target.departed && accepts {
				s.t.Fatalf("instance %d gives work to %+v, which has left", n, a)
			}
		}
	}
}

// Whatever is held up, repeated, reordered or lost, and whatever another writer sends: once
// messages are no longer held up, live targets get work and those that left get none.
func TestTargetsAreKnownAsTheyAreOnceMessagesArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		actions := map[string]func(*rapid.T){
			"start": func(*rapid.T) { s.start() },
			"announce": func(*rapid.T) {
				if target := s.liveTarget(); target != nil {
					s.send(target, false)
				}
			},
			"drain": func(*rapid.T) {
				if target := s.liveTarget(); target != nil {
					target.announcement.State = Draining
					s.send(target, false)
				}
			},
			"leave": func(*rapid.T) {
				if target := s.liveTarget(); target != nil && target.announcement.State == Draining {
					s.send(target, true)
					target.alive = false
				}
			},
			"odd entry":       func(*rapid.T) { s.announceOdd() },
			"deliver call":    func(*rapid.T) { s.deliverHeld() },
			"deliver records": func(*rapid.T) { s.deliverRecords() },
			"apply log":       func(*rapid.T) { s.anyInstance().applyLog() },
			"configure":       func(*rapid.T) { s.anyInstance().configured = true },
			"restart":         func(*rapid.T) { s.anyInstance().restart() },
		}
		t.Repeat(actions)
		s.settle()
		s.check()
	})
}
