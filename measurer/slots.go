package measurer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"almondpick/dispatcher"
)

// Ways to share slots. Ours is one dispatcher for each pool.
const (
	SlotCredits Policy = "slot-credits"
	TwoChoices  Policy = "two-choices"
)

// SlotPolicies lists the policies that slot scenarios know.
func SlotPolicies() []Policy {
	return []Policy{Almondpick, SlotCredits, TwoChoices, RoundRobin, LeastLoad}
}

// slotScenario is one course of requests.
type slotScenario struct {
	name     string
	load     float64 // share of the capacity that is asked for
	duration time.Duration
	adjust   func(*slotSim)
}

func slotScenarios() []slotScenario {
	const minute = time.Minute
	return []slotScenario{
		{name: "slots-steady", load: 0.85, duration: 5 * minute},
		{name: "slots-burst", load: 0.6, duration: 2 * minute, adjust: func(s *slotSim) {
			s.factor = func(now time.Duration) float64 {
				if now > 30*time.Second && now < 60*time.Second {
					return 2 / 0.6
				}
				return 1
			}
			s.window = [2]time.Duration{32 * time.Second, 60 * time.Second}
		}},
		{name: "slots-shed", load: 0.7, duration: 2 * minute, adjust: func(s *slotSim) { s.targets[0].sheds = 0.5 }},
		{name: "slots-cold-start", load: 0.7, duration: 2 * minute, adjust: func(s *slotSim) {
			s.targets[0].coldUntil = 40 * time.Second
			s.targets[0].joins = 30 * time.Second
		}},
		{name: "slots-lying-load", load: 0.7, duration: 2 * minute, adjust: func(s *slotSim) {
			s.targets[0].lies = true
			s.targets[0].slow = 3
		}},
		{name: "slots-black-hole", load: 0.7, duration: 2 * minute, adjust: func(s *slotSim) { s.targets[0].errors = true }},
		{name: "slots-noisy-tenant", load: 0.2, duration: 2 * minute, adjust: func(s *slotSim) { s.flood = 3 }},
	}
}

// Sizes and times of the slot scenarios.
const (
	workMean      = 100 * time.Millisecond
	deadlineAfter = 2 * time.Second
	reportLag     = time.Second
	coldSlowness  = 3
	retryWait     = 10 * time.Millisecond
	mostTries     = 4
	expireEvery   = 20 * time.Millisecond
	quietTenant   = "quiet"
	noisyTenant   = "noisy"
)

// slotTarget is one target with its slots.
type slotTarget struct {
	name      string
	slots     int
	running   int
	run       int // work it has run
	reported  int // as of the last report
	sheds     float64
	slow      float64
	coldUntil time.Duration
	joins     time.Duration
	lies      bool
	errors    bool
}

// job is one request.
type job struct {
	id       dispatcher.RequestID
	tenant   string
	arrived  time.Duration
	deadline time.Duration
	work     time.Duration
	instance int
	tries    int
	avoid    string
}

// slotEvent is something that happens at a time.
type slotEvent struct {
	at    time.Duration
	order int
	run   func()
}

type slotQueue []slotEvent

// Len implements heap.Interface.
func (q slotQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q slotQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}

// Swap implements heap.Interface.
func (q slotQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *slotQueue) Push(x any) { *q = append(*q, x.(slotEvent)) }

// Pop implements heap.Interface.
func (q *slotQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// slotSim is one run of a slot scenario.
type slotSim struct {
	set     Settings
	size    Deployment
	random  *rand.Rand
	queue   slotQueue
	order   int
	now     time.Duration
	targets []*slotTarget
	pools   []*dispatcher.Pool
	jobs    map[dispatcher.RequestID]*job
	nextID  dispatcher.RequestID
	turn    int
	factor  func(time.Duration) float64
	window  [2]time.Duration // in which goodput counts; all of the run by default
	flood   float64          // of a second tenant, in shares of the capacity

	waits         []float64 // milliseconds, of the quiet tenant where there are two
	refused, sent int
	done, offered int
	goodWork      float64
	ideal         idealQueue
	idealWaits    []float64
}

// idealQueue is one first-come first-served queue over all slots with no distances.
type idealQueue struct {
	free []time.Duration // when each slot is free
}

// wait returns how long work that arrives now waits, and takes a slot for it.
func (q *idealQueue) wait(now, work time.Duration) time.Duration {
	first := 0
	for i := range q.free {
		if q.free[i] < q.free[first] {
			first = i
		}
	}
	start := max(now, q.free[first])
	q.free[first] = start + work
	return start - now
}

func newSlotSim(set Settings, d Deployment) *slotSim {
	s := &slotSim{
		set: set, size: d, random: rand.New(rand.NewPCG(set.Seed, 0x736c6f7473)), jobs: make(map[dispatcher.RequestID]*job),
		factor: func(time.Duration) float64 { return 1 },
	}
	first := d.Services[0]
	for i := range first.Targets {
		s.targets = append(s.targets, &slotTarget{name: string(rune('a' + i)), slots: first.SlotsPerTarget, slow: 1})
	}
	n := 1
	if set.Policy == SlotCredits {
		n = d.Instances
	}
	for range n {
		s.pools = append(s.pools, dispatcher.NewPool())
	}
	return s
}

func (s *slotSim) at(t time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, slotEvent{at: t, order: s.order, run: run})
}

func (s *slotSim) capacity() int {
	return len(s.targets) * s.targets[0].slots
}

// setTargets tells the pools which targets there are. Credits divide the slots of
// each target among the instances.
func (s *slotSim) setTargets() {
	for p, pool := range s.pools {
		var list []dispatcher.Target
		slot := 0
		for _, t := range s.targets {
			n := 0
			for range t.slots {
				if len(s.pools) == 1 || slot%len(s.pools) == p {
					n++
				}
				slot++
			}
			if n > 0 && s.now >= t.joins {
				list = append(list, dispatcher.Target{Name: t.name, Slots: n, Eligible: true, SlowStart: s.now < t.coldUntil})
			}
		}
		s.start(pool.SetTargets(s.now, list))
	}
}

func (s *slotSim) play(c slotScenario) Report {
	if c.adjust != nil {
		c.adjust(s)
	}
	s.ideal.free = make([]time.Duration, s.capacity())
	s.setTargets()
	for _, t := range s.targets {
		if t.joins > 0 {
			s.at(t.joins, s.setTargets)
			s.at(t.coldUntil, s.setTargets)
		}
	}
	perSecond := float64(s.capacity()) / workMean.Seconds()
	s.arrive(perSecond*c.load, quietTenant)
	if s.flood > 0 {
		s.arrive(perSecond*s.flood, noisyTenant)
	}
	s.expire()
	s.report()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(slotEvent)
		if e.at > c.duration {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.finish(c)
}

// arrive lets requests of a tenant come at random times.
func (s *slotSim) arrive(rate float64, tenant string) {
	var next func()
	next = func() {
		s.submitNew(tenant)
		gap := s.random.ExpFloat64() / (rate * s.factor(s.now))
		s.at(s.now+time.Duration(gap*float64(time.Second)), next)
	}
	s.at(0, next)
}

func (s *slotSim) submitNew(tenant string) {
	s.nextID++
	j := &job{
		id: s.nextID, tenant: tenant, arrived: s.now, deadline: s.now + deadlineAfter, instance: s.random.IntN(s.size.Instances),
		work: time.Duration(s.random.ExpFloat64() * float64(workMean)),
	}
	s.jobs[j.id] = j
	if tenant == quietTenant {
		s.offered++
		s.idealWaits = append(s.idealWaits, milliseconds(s.ideal.wait(s.now, j.work)))
	}
	if s.pooled() {
		distance := time.Duration(0)
		if s.set.Policy == Almondpick && j.instance != 0 {
			distance = s.size.InternalDelay // to the instance that dispatches
		}
		s.at(s.now+distance, func() { s.submit(j) })
		return
	}
	s.choose(j)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func (s *slotSim) pooled() bool {
	return s.set.Policy == Almondpick || s.set.Policy == SlotCredits
}

func (s *slotSim) pool(j *job) *dispatcher.Pool {
	return s.pools[j.instance%len(s.pools)]
}

func (s *slotSim) submit(j *job) {
	pool := s.pool(j)
	w := dispatcher.Request{ID: j.id, Tenant: j.tenant, Deadline: j.deadline, AvoidTarget: j.avoid}
	submit := pool.Submit
	if j.tries > 0 {
		submit = pool.Retry
	}
	switch verdict, start := submit(s.now, w); verdict {
	case dispatcher.Started:
		s.start([]dispatcher.Assignment{start})
	case dispatcher.Refused:
		s.refuse(j)
	case dispatcher.Queued:
	}
}

func (s *slotSim) refuse(j *job) {
	delete(s.jobs, j.id)
	if j.tenant == quietTenant {
		s.refused++
	}
}

func (s *slotSim) start(list []dispatcher.Assignment) {
	for _, st := range list {
		j := s.jobs[st.RequestID]
		t := s.targets[slices.IndexFunc(s.targets, func(t *slotTarget) bool { return t.name == st.Target })]
		s.at(s.now+s.size.InternalDelay, func() { s.reach(j, t) })
	}
}

// reach has a request arrive at a target, which runs it, sheds it or fails.
func (s *slotSim) reach(j *job, t *slotTarget) {
	s.sent++
	j.tries++
	if t.running >= t.slots || (t.sheds > 0 && s.random.Float64() < t.sheds) || s.now < t.joins {
		s.back(j, t, dispatcher.ResultShed, 0)
		return
	}
	if t.errors {
		s.back(j, t, dispatcher.ResultError, time.Millisecond)
		return
	}
	if j.tenant == quietTenant {
		s.waits = append(s.waits, milliseconds(s.now-j.arrived))
	}
	work := time.Duration(float64(j.work) * t.slow)
	if s.now < t.coldUntil {
		work *= coldSlowness
	}
	t.running++
	t.run++
	s.at(s.now+work, func() {
		t.running--
		s.back(j, t, dispatcher.ResultOK, work)
	})
}

// back brings a result to the instance that sent the request.
func (s *slotSim) back(j *job, t *slotTarget, r dispatcher.Result, took time.Duration) {
	s.at(s.now+s.size.InternalDelay, func() {
		if s.pooled() {
			s.start(s.pool(j).Finish(s.now, t.name, r, took))
		}
		switch {
		case r == dispatcher.ResultOK:
			s.done++
			s.good(j)
			delete(s.jobs, j.id)
		case r == dispatcher.ResultShed && j.tries < mostTries && s.now < j.deadline:
			j.avoid = t.name
			if s.pooled() {
				s.submit(j)
			} else {
				s.at(s.now+retryWait, func() { s.choose(j) })
			}
		default:
			s.refuse(j)
		}
	})
}

// good counts work that ended within its deadline, in the window of the scenario.
func (s *slotSim) good(j *job) {
	if s.now >= s.window[0] && (s.window[1] == 0 || s.now <= s.window[1]) {
		s.goodWork += j.work.Seconds()
	}
}

// choose is how the ways without a pool pick a target.
func (s *slotSim) choose(j *job) {
	var t *slotTarget
	switch s.set.Policy {
	case RoundRobin:
		s.turn++
		t = s.targets[s.turn%len(s.targets)]
	case LeastLoad:
		t = s.targets[s.random.IntN(len(s.targets))]
		for _, o := range s.targets {
			if o.reported < t.reported {
				t = o
			}
		}
	default:
		t = s.targets[s.random.IntN(len(s.targets))]
		if o := s.targets[s.random.IntN(len(s.targets))]; o.reported < t.reported {
			t = o
		}
	}
	s.at(s.now+s.size.InternalDelay, func() { s.reach(j, t) })
}

func (s *slotSim) expire() {
	for _, p := range s.pools {
		late, starts := p.Expire(s.now)
		for _, id := range late {
			s.refuse(s.jobs[id])
		}
		s.start(starts)
	}
	s.at(s.now+expireEvery, s.expire)
}

// report brings the targets' load reports up to date; one that lies reports none.
func (s *slotSim) report() {
	for _, t := range s.targets {
		t.reported = t.running
		if t.lies {
			t.reported = 0
		}
	}
	s.at(s.now+reportLag, s.report)
}

func (s *slotSim) finish(c slotScenario) Report {
	r := Report{Scenario: c.name, Deployment: s.size.Name, Policy: s.set.Policy, Seed: s.set.Seed, DurationSeconds: c.duration.Seconds(), BrokenFlowsByCause: map[string]int{}}
	r.WaitP99MS = percentile(s.waits, 0.99)
	r.IdealWaitP99MS = percentile(s.idealWaits, 0.99)
	r.RefusedRequests = s.refused
	var runs []float64
	for _, t := range s.targets {
		if t.joins == 0 && !t.errors {
			runs = append(runs, float64(t.run))
		}
	}
	r.RequestsMaxOverMean, _ = balance(runs)
	length := c.duration
	if s.window[1] > 0 {
		length = s.window[1] - s.window[0]
	}
	r.GoodputShare = s.goodWork / (float64(s.capacity()) * length.Seconds())
	r.ExtraRequestShare = share(float64(s.sent-s.done), float64(s.done))
	return r
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(p*float64(len(sorted)-1))]
}

// runSlots plays a slot scenario through.
func runSlots(set Settings, c slotScenario, d Deployment) (Report, error) {
	if !slices.Contains(SlotPolicies(), set.Policy) {
		return Report{}, &UnknownNameError{Kind: "policy", Name: string(set.Policy)}
	}
	if set.Duration > 0 {
		c.duration = set.Duration
	}
	return newSlotSim(set, d).play(c), nil
}
