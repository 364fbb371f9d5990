package steerer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The load that the policies are played under: one service of a small deployment, a
// little over half of its slots in use.
const (
	loadTargets   = 14
	loadSlots     = 3
	loadQueue     = 12 // requests that a target queues; it sheds what is beyond
	loadInstances = 6
	loadRate      = 400.0 // requests a second
	loadWork      = 58 * time.Millisecond
	loadAim       = 250 * time.Millisecond
	loadTimeout   = 1500 * time.Millisecond
	loadStep      = time.Millisecond
	loadAnswer    = 2000                   // bytes of an answer, up to half as much more or less
	loadFailure   = 120                    // bytes of one that tells of a failure
	loadBin       = 100 * time.Millisecond // of the counts
)

// job is one request of a caller.
type job struct {
	flow     Flow
	instance int
	sent     time.Duration
	copies   uint32
	open     bool // a target has it
	over     bool
	failed   bool
	target   int
}

// working is a request on a slot.
type working struct {
	job  *job
	ends time.Duration
}

// server is a target with its slots and its queue.
type server struct {
	slots []working
	queue []*job
	slow  float64
	dead  bool
	grey  float64 // share of requests that fail at once
	// refuses says that the target's machine answers opening packets with a reset.
	refuses bool
}

// world plays callers, instances and targets in virtual time.
type world struct {
	now       time.Duration
	random    *rand.Rand
	instances []*Steerer
	servers   []*server
	jobs      []*job
	held      map[*job]time.Duration
	blind     bool // the baseline: a random target for each flow
	number    int
	down      bool        // no instance runs
	inAim     map[int]int // by bin of sending
	answered  map[int]int
	served    map[int]int // by target
	asked     map[int]int
}

func newWorld(blind bool) *world {
	w := &world{
		random: rand.New(rand.NewPCG(7, 7)), held: make(map[*job]time.Duration), blind: blind,
		inAim: make(map[int]int), answered: make(map[int]int), served: make(map[int]int), asked: make(map[int]int),
	}
	for range loadTargets {
		w.servers = append(w.servers, &server{slow: 1})
	}
	w.restart()
	w.learn(loadTargets, true)
	return w
}

// restart starts all instances anew.
func (w *world) restart() {
	w.instances = nil
	for i := range loadInstances {
		w.instances = append(w.instances, New(WithRandomSource(rand.New(rand.NewPCG(uint64(i), w.random.Uint64())))))
	}
}

// learn gives every instance a view with the first n targets.
func (w *world) learn(n int, complete bool) {
	for _, s := range w.instances {
		var targets []Target
		for i := range n {
			targets = append(targets, target(uint64(i+1), "menus", func(t *Target) { t.Slots = loadSlots }))
		}
		routes := []Route{{Address: menu, Timeout: loadTimeout, Shares: []Share{{Pool: "menus", Weight: 1}}}}
		s.SetView(NewView(1, "dc1", routes, targets).WithSynced(complete))
	}
}

func (w *world) play(until time.Duration) {
	for w.now < until {
		w.now += loadStep
		if w.random.Float64() < loadRate*loadStep.Seconds() {
			w.number++
			j := &job{instance: w.random.IntN(loadInstances), sent: w.now, flow: Flow{
				Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(w.number >> 16), 1}), uint16(w.number)), Service: menu,
			}}
			w.asked[int(w.now/loadBin)]++
			w.jobs = append(w.jobs, j)
			w.ask(j)
		}
		w.callers()
		w.work()
	}
}

// callers repeat opening packets and give up.
func (w *world) callers() {
	for _, j := range w.jobs {
		age := w.now - j.sent
		if age >= loadTimeout {
			j.over = true
		}
		if j.open || j.over {
			continue
		}
		if (j.copies == 0 && age >= 200*time.Millisecond) || (j.copies == 1 && age >= 600*time.Millisecond) {
			j.copies++
			w.ask(j)
		}
	}
	w.jobs = slices.DeleteFunc(w.jobs, func(j *job) bool { return j.over && !j.open })
	for j, since := range w.held {
		p := Packet{Flow: j.flow, Flags: SYN, Retransmissions: j.copies, HeldFor: w.now - since}
		w.decide(j, w.instances[j.instance].Decide(w.now, p))
	}
}

func (w *world) ask(j *job) {
	if w.down {
		return
	}
	if w.blind {
		w.accept(j, w.random.IntN(loadTargets))
		return
	}
	w.decide(j, w.instances[j.instance].Decide(w.now, Packet{Flow: j.flow, Flags: SYN, Retransmissions: j.copies}))
}

func (w *world) decide(j *job, v Decision) {
	switch {
	case v.Action == Hold && w.held[j] == 0:
		w.held[j] = w.now
		return
	case v.Action == Hold:
		return
	case v.Action == Forward && !j.over:
		w.accept(j, int(v.Target.Identity)-1)
	case v.Action == Reset:
		j.over = true
	}
	delete(w.held, j)
}

// accept is what a target does with an opening packet.
func (w *world) accept(j *job, n int) {
	s := w.servers[n]
	if s.refuses {
		j.over = true
		return
	}
	if s.dead || j.open || len(s.queue) >= loadQueue {
		return
	}
	j.open, j.target = true, n
	s.queue = append(s.queue, j)
	if !w.blind {
		w.instances[j.instance].Decide(w.now, Packet{Flow: j.flow, Label: Label(n + 1), PayloadSize: 100, Ack: 1})
	}
}

func (w *world) work() {
	for _, s := range w.servers {
		s.slots = slices.DeleteFunc(s.slots, func(o working) bool {
			if w.now < o.ends {
				return false
			}
			w.finish(o.job)
			return true
		})
		for len(s.queue) > 0 && len(s.slots) < loadSlots {
			work := time.Duration(float64(loadWork) * s.slow * (0.5 + w.random.Float64()))
			if s.grey > 0 && w.random.Float64() < s.grey {
				s.queue[0].failed, work = true, time.Millisecond
			}
			s.slots = append(s.slots, working{job: s.queue[0], ends: w.now + work})
			s.queue = s.queue[1:]
		}
	}
}

func (w *world) finish(j *job) {
	w.served[j.target]++
	size := uint32(loadAnswer/2 + w.random.IntN(loadAnswer))
	if j.failed {
		j.over = true
		size = loadFailure
	}
	if !j.over {
		w.answered[int(j.sent/loadBin)]++
	}
	if !j.over && w.now-j.sent <= loadAim {
		w.inAim[int(j.sent/loadBin)]++
	}
	j.over = true
	if !w.blind {
		w.instances[j.instance].Decide(w.now, Packet{Flow: j.flow, Label: Label(j.target + 1), Flags: FIN, Ack: 1 + size})
	}
}

// share returns which part of the requests sent in some time was answered in the aim.
func (w *world) share(from, to time.Duration) float64 {
	return w.part(w.inAim, from, to)
}

// part returns which part of the requests sent in some time was counted.
func (w *world) part(counted map[int]int, from, to time.Duration) float64 {
	good, all := 0, 0
	for bin := int(from / loadBin); bin < int(to/loadBin); bin++ {
		good += counted[bin]
		all += w.asked[bin]
	}
	return float64(good) / float64(all)
}

func TestSteadyLoadIsServedInTheAim(t *testing.T) {
	is := is.New(t)
	w, blind := newWorld(false), newWorld(true)
	w.play(10 * time.Second)
	blind.play(10 * time.Second)
	t.Logf("in the aim: %.4f, random placement %.4f", w.share(0, 9*time.Second), blind.share(0, 9*time.Second))
	is.True(w.share(0, 9*time.Second) >= 0.995)
	is.True(w.share(0, 9*time.Second) >= blind.share(0, 9*time.Second))
}

func TestSlowTargetsGetLess(t *testing.T) {
	is := is.New(t)
	w, blind := newWorld(false), newWorld(true)
	for _, one := range []*world{w, blind} {
		one.servers[0].slow, one.servers[1].slow = 5, 5
		one.play(10 * time.Second)
	}
	t.Logf("in the aim: %.4f, random placement %.4f", w.share(0, 9*time.Second), blind.share(0, 9*time.Second))
	is.True(w.share(0, 9*time.Second) >= 0.98)
	is.True(w.share(0, 9*time.Second) > blind.share(0, 9*time.Second))
}

// Two targets fail nearly half of what they get, at once and with a short answer, and so
// look as if they were the least busy ones.
func TestTargetsThatFailQuicklyDoNotAttractFlows(t *testing.T) {
	is := is.New(t)
	w, blind := newWorld(false), newWorld(true)
	for _, one := range []*world{w, blind} {
		one.servers[0].grey, one.servers[1].grey = 0.45, 0.45
		one.play(10 * time.Second)
	}
	t.Logf("in the aim: %.4f, random placement %.4f", w.share(0, 9*time.Second), blind.share(0, 9*time.Second))
	is.True(w.share(0, 9*time.Second) >= 0.975)
	is.True(w.share(0, 9*time.Second) > blind.share(0, 9*time.Second))
}

// Two targets refuse every flow, as machines do whose process has crashed, and so are never
// busy.
func TestTargetsThatRefuseFlowsDoNotAttractThem(t *testing.T) {
	is := is.New(t)
	w, blind := newWorld(false), newWorld(true)
	for _, one := range []*world{w, blind} {
		one.servers[0].refuses, one.servers[1].refuses = true, true
		one.play(10 * time.Second)
	}
	t.Logf("in the aim: %.4f, random placement %.4f", w.share(0, 9*time.Second), blind.share(0, 9*time.Second))
	is.True(w.share(0, 9*time.Second) >= 0.96)
	is.True(w.share(0, 9*time.Second) > blind.share(0, 9*time.Second))
}

// Targets that were slow and have recovered get their part again.
func TestRecoveredTargetsGetFlowsAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(false)
	w.servers[0].slow, w.servers[1].slow = 5, 5
	w.play(5 * time.Second)
	w.servers[0].slow, w.servers[1].slow = 1, 1
	w.play(13 * time.Second)
	w.served = make(map[int]int)
	w.play(23 * time.Second)
	mean := 0.0
	for _, n := range w.served {
		mean += float64(n) / loadTargets
	}
	t.Logf("served by the two: %d and %d, mean %.0f", w.served[0], w.served[1], mean)
	is.True(float64(w.served[0]) >= 0.8*mean)
	is.True(float64(w.served[1]) >= 0.8*mean)
}

func TestADeadTargetCostsAFewCallersTheirFirstTry(t *testing.T) {
	is := is.New(t)
	w := newWorld(false)
	w.play(2 * time.Second)
	w.servers[3].dead = true
	w.play(10 * time.Second)
	t.Logf("in the aim: %.4f", w.share(2*time.Second, 9*time.Second))
	is.True(w.share(2*time.Second, 9*time.Second) >= 0.97)
}

// After a second without any instance, with targets that are learnt one by one, callers
// who gave up must not be placed, and the load must be back to normal two seconds later.
func TestRecoveryAfterARestartOfEverything(t *testing.T) {
	is := is.New(t)
	w := newWorld(false)
	w.play(2 * time.Second)
	w.restart()
	w.play(3 * time.Second)
	for n := 1; n <= loadTargets; n++ {
		w.learn(n, n == loadTargets)
		w.play(w.now + 25*time.Millisecond)
	}
	w.play(9 * time.Second)
	t.Logf("in the aim: second 3 %.3f, 4 %.3f, after %.4f", w.share(3*time.Second, 4*time.Second),
		w.share(4*time.Second, 5*time.Second), w.share(5*time.Second, 8*time.Second))
	is.True(w.share(5*time.Second, 8*time.Second) >= 0.995)
}

// No instance runs for 1.3 seconds; then all are back and know everything. Those who call
// from then on must not wait behind those who called before.
func TestCallersAfterAnOutageAreServedInTime(t *testing.T) {
	is := is.New(t)
	w := newWorld(false)
	w.play(2 * time.Second)
	w.down = true
	w.play(3300 * time.Millisecond)
	w.down = false
	w.restart()
	w.learn(loadTargets, true)
	back := w.now
	w.play(9 * time.Second)
	t.Logf("in the aim, sent within 0.5 s after it: %.3f, within 1 s: %.3f; answered at all, sent within 0.5 s before: %.3f",
		w.share(back, back+500*time.Millisecond), w.share(back, back+time.Second), w.part(w.answered, back-500*time.Millisecond, back))
	is.True(w.share(back, back+time.Second) >= 0.95)
}
