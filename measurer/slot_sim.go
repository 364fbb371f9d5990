package measurer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"almondpick/dispatcher"
)

// The policies that exist only for slots. With Almondpick, one instance dispatches for the
// whole pool.
const (
	SlotCredits Policy = "slot-credits" // each instance dispatches to its part of the slots
	TwoChoices  Policy = "two-choices"  // the less loaded one of two random targets
)

// SlotPolicies returns the policies of the slot scenarios.
func SlotPolicies() []Policy {
	return []Policy{Almondpick, SlotCredits, TwoChoices, RoundRobin, LeastLoad}
}

// slotScenario is a workload of requests that each need a slot on a target.
type slotScenario struct {
	name        string
	offeredLoad float64 // as a share of the capacity
	duration    time.Duration
	configure   func(*slotSim) // nil if the scenario needs nothing else
}

func slotScenarios() []slotScenario {
	const minute = time.Minute
	return []slotScenario{
		{name: "slots-steady", offeredLoad: 0.85, duration: 5 * minute},
		{name: "slots-burst", offeredLoad: 0.6, duration: 2 * minute, configure: func(s *slotSim) {
			s.loadFactor = func(now time.Duration) float64 {
				if now > 30*time.Second && now < 60*time.Second {
					return 2 / 0.6 // to twice the capacity
				}
				return 1
			}
			s.goodputWindow = [2]time.Duration{32 * time.Second, 60 * time.Second}
		}},
		{name: "slots-shed", offeredLoad: 0.7, duration: 2 * minute, configure: func(s *slotSim) { s.targets[0].shedProbability = 0.5 }},
		{name: "slots-cold-start", offeredLoad: 0.7, duration: 2 * minute, configure: func(s *slotSim) {
			s.targets[0].slowStartUntil = 40 * time.Second
			s.targets[0].joinsAt = 30 * time.Second
		}},
		{name: "slots-lying-load", offeredLoad: 0.7, duration: 2 * minute, configure: func(s *slotSim) {
			s.targets[0].reportsZeroLoad = true
			s.targets[0].serviceTimeFactor = 3
		}},
		{name: "slots-black-hole", offeredLoad: 0.7, duration: 2 * minute, configure: func(s *slotSim) { s.targets[0].failsRequests = true }},
		{name: "slots-noisy-tenant", offeredLoad: 0.2, duration: 2 * minute, configure: func(s *slotSim) { s.noisyTenantLoad = 3 }},
	}
}

// Parameters of the slot scenarios.
const (
	meanServiceTime            = 100 * time.Millisecond
	requestTimeout             = 2 * time.Second
	loadReportInterval         = time.Second
	slowStartServiceTimeFactor = 3
	retryDelay                 = 10 * time.Millisecond
	maxAttempts                = 4
	expireInterval             = 20 * time.Millisecond
	quietTenant                = "quiet"
	noisyTenant                = "noisy"
)

// slotTarget is a simulated target with its slots.
type slotTarget struct {
	name              string
	slots             int
	runningRequests   int
	requestsRun       int // started since the start of the run
	reportedLoad      int // running requests at the last load report
	shedProbability   float64
	serviceTimeFactor float64 // multiplies the service time of a request
	slowStartUntil    time.Duration
	joinsAt           time.Duration
	reportsZeroLoad   bool
	failsRequests     bool
}

// slotRequest is a simulated request.
type slotRequest struct {
	id          dispatcher.RequestID
	tenant      string
	arrivedAt   time.Duration
	deadline    time.Duration
	serviceTime time.Duration
	ingress     int // index of the instance that received the request
	attempts    int
	avoidTarget string
}

// slotEvent is an event of a slot simulation. Events with the same time are handled in the
// order in which they were scheduled.
type slotEvent struct {
	at       time.Duration
	sequence int
	callback func()
}

// slotEventQueue is a heap of events, ordered by time and sequence.
type slotEventQueue []slotEvent

// Len implements heap.Interface.
func (q slotEventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q slotEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}

// Swap implements heap.Interface.
func (q slotEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *slotEventQueue) Push(x any) { *q = append(*q, x.(slotEvent)) }

// Pop implements heap.Interface.
func (q *slotEventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// slotSim is one run of a slot scenario.
type slotSim struct {
	settings        Settings
	deployment      Deployment
	random          *rand.Rand
	events          slotEventQueue
	lastSequence    int
	now             time.Duration
	targets         []*slotTarget
	pools           []*dispatcher.Pool // one, or one for each instance with SlotCredits
	requests        map[dispatcher.RequestID]*slotRequest
	lastRequestID   dispatcher.RequestID
	roundRobinCount int
	loadFactor      func(time.Duration) float64 // multiplies the arrival rate at a time
	goodputWindow   [2]time.Duration            // in which goodput is measured; zero for the whole run
	noisyTenantLoad float64                     // offered load of a second tenant, as a share of the capacity

	waitsMS                       []float64 // from arrival to start; only requests of the quiet tenant
	refusedRequests, sentRequests int       // refused: only requests of the quiet tenant; sent: every attempt
	completedRequests             int
	goodputSeconds                float64 // sum of the service times of completed requests
	idealQueue                    idealQueue
	idealWaitsMS                  []float64
}

// idealQueue is a first-come, first-served queue for all slots without network delays.
// The waits in this queue are the reference for the simulated ones.
type idealQueue struct {
	slotFreeAt []time.Duration // when each slot becomes free
}

// admit assigns the slot that is free first to a request that arrives now, and returns the
// time that the request waits for the slot.
func (q *idealQueue) admit(now, serviceTime time.Duration) time.Duration {
	earliest := 0
	for i := range q.slotFreeAt {
		if q.slotFreeAt[i] < q.slotFreeAt[earliest] {
			earliest = i
		}
	}
	startsAt := max(now, q.slotFreeAt[earliest])
	q.slotFreeAt[earliest] = startsAt + serviceTime
	return startsAt - now
}

// newSlotSim returns a simulation of the first service of d.
func newSlotSim(settings Settings, d Deployment) *slotSim {
	s := &slotSim{
		settings: settings, deployment: d, random: rand.New(rand.NewPCG(settings.Seed, 0x736c6f7473)), requests: make(map[dispatcher.RequestID]*slotRequest),
		loadFactor: func(time.Duration) float64 { return 1 },
	}
	service := d.Services[0]
	for i := range service.Targets {
		s.targets = append(s.targets, &slotTarget{name: string(rune('a' + i)), slots: service.SlotsPerTarget, serviceTimeFactor: 1})
	}
	poolCount := 1
	if settings.Policy == SlotCredits {
		poolCount = d.Instances
	}
	for range poolCount {
		s.pools = append(s.pools, dispatcher.NewPool())
	}
	return s
}

func (s *slotSim) scheduleAt(at time.Duration, callback func()) {
	s.lastSequence++
	heap.Push(&s.events, slotEvent{at: at, sequence: s.lastSequence, callback: callback})
}

func (s *slotSim) totalSlots() int {
	return len(s.targets) * s.targets[0].slots
}

// updatePoolTargets passes the targets to the pools. With SlotCredits, the slots of each
// target are divided among the pools of the instances.
func (s *slotSim) updatePoolTargets() {
	for p, pool := range s.pools {
		var poolTargets []dispatcher.Target
		slotIndex := 0
		for _, t := range s.targets {
			poolSlots := 0
			for range t.slots {
				if len(s.pools) == 1 || slotIndex%len(s.pools) == p {
					poolSlots++
				}
				slotIndex++
			}
			if poolSlots > 0 && s.now >= t.joinsAt {
				poolTargets = append(poolTargets, dispatcher.Target{Name: t.name, Slots: poolSlots, Eligible: true, SlowStart: s.now < t.slowStartUntil})
			}
		}
		s.sendAssigned(pool.SetTargets(s.now, poolTargets))
	}
}

// run simulates a scenario and returns the report.
func (s *slotSim) run(c slotScenario) Report {
	if c.configure != nil {
		c.configure(s)
	}
	s.idealQueue.slotFreeAt = make([]time.Duration, s.totalSlots())
	s.updatePoolTargets()
	for _, t := range s.targets {
		if t.joinsAt > 0 {
			s.scheduleAt(t.joinsAt, s.updatePoolTargets)
			s.scheduleAt(t.slowStartUntil, s.updatePoolTargets)
		}
	}
	fullLoadRate := float64(s.totalSlots()) / meanServiceTime.Seconds()
	s.scheduleArrivals(fullLoadRate*c.offeredLoad, quietTenant)
	if s.noisyTenantLoad > 0 {
		s.scheduleArrivals(fullLoadRate*s.noisyTenantLoad, noisyTenant)
	}
	s.expireRequests()
	s.updateReportedLoads()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(slotEvent)
		if e.at > c.duration {
			break
		}
		s.now = e.at
		e.callback()
	}
	return s.finalReport(c)
}

// scheduleArrivals schedules the requests of a tenant, which arrive as a Poisson process.
// rate is in requests per second, and is multiplied by loadFactor.
func (s *slotSim) scheduleArrivals(rate float64, tenant string) {
	var next func()
	next = func() {
		s.handleArrival(tenant)
		gap := s.random.ExpFloat64() / (rate * s.loadFactor(s.now))
		s.scheduleAt(s.now+time.Duration(gap*float64(time.Second)), next)
	}
	s.scheduleAt(0, next)
}

// handleArrival creates a request and submits it to a pool or sends it to a target.
func (s *slotSim) handleArrival(tenant string) {
	s.lastRequestID++
	req := &slotRequest{
		id: s.lastRequestID, tenant: tenant, arrivedAt: s.now, deadline: s.now + requestTimeout, ingress: s.random.IntN(s.deployment.Instances),
		serviceTime: time.Duration(s.random.ExpFloat64() * float64(meanServiceTime)),
	}
	s.requests[req.id] = req
	if tenant == quietTenant {
		s.idealWaitsMS = append(s.idealWaitsMS, milliseconds(s.idealQueue.admit(s.now, req.serviceTime)))
	}
	if s.usesPools() {
		delay := time.Duration(0)
		if s.settings.Policy == Almondpick && req.ingress != 0 {
			delay = s.deployment.InternalDelay // to instance 0, which dispatches
		}
		s.scheduleAt(s.now+delay, func() { s.submitToPool(req) })
		return
	}
	s.sendDirectly(req)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// usesPools reports whether the policy assigns requests to slots by a dispatcher.Pool.
func (s *slotSim) usesPools() bool {
	return s.settings.Policy == Almondpick || s.settings.Policy == SlotCredits
}

func (s *slotSim) poolOf(req *slotRequest) *dispatcher.Pool {
	return s.pools[req.ingress%len(s.pools)]
}

func (s *slotSim) submitToPool(req *slotRequest) {
	pool := s.poolOf(req)
	poolRequest := dispatcher.Request{ID: req.id, Tenant: req.tenant, Deadline: req.deadline, AvoidTarget: req.avoidTarget}
	submit := pool.Submit
	if req.attempts > 0 {
		submit = pool.Retry
	}
	switch admission, assignment := submit(s.now, poolRequest); admission {
	case dispatcher.Started:
		s.sendAssigned([]dispatcher.Assignment{assignment})
	case dispatcher.Refused:
		s.refuseRequest(req)
	case dispatcher.Queued:
	}
}

// refuseRequest ends a request that is not completed: it was refused, failed or expired, or
// was shed too often. Only those of the quiet tenant are counted.
func (s *slotSim) refuseRequest(req *slotRequest) {
	delete(s.requests, req.id)
	if req.tenant == quietTenant {
		s.refusedRequests++
	}
}

// sendAssigned sends requests to the targets that their pool has assigned.
func (s *slotSim) sendAssigned(assignments []dispatcher.Assignment) {
	for _, assignment := range assignments {
		req := s.requests[assignment.RequestID]
		t := s.targets[slices.IndexFunc(s.targets, func(t *slotTarget) bool { return t.name == assignment.Target })]
		s.scheduleAt(s.now+s.deployment.InternalDelay, func() { s.arriveAtTarget(req, t) })
	}
}

// arriveAtTarget lets a target run, shed or fail a request.
func (s *slotSim) arriveAtTarget(req *slotRequest, t *slotTarget) {
	s.sentRequests++
	req.attempts++
	if t.runningRequests >= t.slots || (t.shedProbability > 0 && s.random.Float64() < t.shedProbability) || s.now < t.joinsAt {
		s.returnResult(req, t, dispatcher.ResultShed, 0)
		return
	}
	if t.failsRequests {
		s.returnResult(req, t, dispatcher.ResultError, time.Millisecond)
		return
	}
	if req.tenant == quietTenant {
		s.waitsMS = append(s.waitsMS, milliseconds(s.now-req.arrivedAt))
	}
	serviceTime := time.Duration(float64(req.serviceTime) * t.serviceTimeFactor)
	if s.now < t.slowStartUntil {
		serviceTime *= slowStartServiceTimeFactor
	}
	t.runningRequests++
	t.requestsRun++
	s.scheduleAt(s.now+serviceTime, func() {
		t.runningRequests--
		s.returnResult(req, t, dispatcher.ResultOK, serviceTime)
	})
}

// returnResult returns a result to the instance that sent the request. A request that was
// shed is tried again until maxAttempts or its deadline.
func (s *slotSim) returnResult(req *slotRequest, t *slotTarget, result dispatcher.Result, runTime time.Duration) {
	s.scheduleAt(s.now+s.deployment.InternalDelay, func() {
		if s.usesPools() {
			s.sendAssigned(s.poolOf(req).Finish(s.now, t.name, result, runTime))
		}
		switch {
		case result == dispatcher.ResultOK:
			s.completedRequests++
			s.countGoodput(req)
			delete(s.requests, req.id)
		case result == dispatcher.ResultShed && req.attempts < maxAttempts && s.now < req.deadline:
			req.avoidTarget = t.name
			if s.usesPools() {
				s.submitToPool(req)
			} else {
				s.scheduleAt(s.now+retryDelay, func() { s.sendDirectly(req) })
			}
		default:
			s.refuseRequest(req)
		}
	})
}

// countGoodput counts a request that completed in the goodput window. The deadline is not
// checked, so a request that completes after its deadline counts too.
func (s *slotSim) countGoodput(req *slotRequest) {
	if s.now >= s.goodputWindow[0] && (s.goodputWindow[1] == 0 || s.now <= s.goodputWindow[1]) {
		s.goodputSeconds += req.serviceTime.Seconds()
	}
}

// sendDirectly picks a target for a request by a policy without pools, and sends the
// request there.
func (s *slotSim) sendDirectly(req *slotRequest) {
	var t *slotTarget
	switch s.settings.Policy {
	case RoundRobin:
		s.roundRobinCount++
		t = s.targets[s.roundRobinCount%len(s.targets)]
	case LeastLoad:
		t = s.targets[s.random.IntN(len(s.targets))]
		for _, other := range s.targets {
			if other.reportedLoad < t.reportedLoad {
				t = other
			}
		}
	default:
		t = s.targets[s.random.IntN(len(s.targets))]
		if other := s.targets[s.random.IntN(len(s.targets))]; other.reportedLoad < t.reportedLoad {
			t = other
		}
	}
	s.scheduleAt(s.now+s.deployment.InternalDelay, func() { s.arriveAtTarget(req, t) })
}

// expireRequests refuses the queued requests whose deadline has passed.
func (s *slotSim) expireRequests() {
	for _, p := range s.pools {
		expired, assignments := p.Expire(s.now)
		for _, id := range expired {
			s.refuseRequest(s.requests[id])
		}
		s.sendAssigned(assignments)
	}
	s.scheduleAt(s.now+expireInterval, s.expireRequests)
}

// updateReportedLoads updates the load reports of the targets. A target with
// reportsZeroLoad reports no load.
func (s *slotSim) updateReportedLoads() {
	for _, t := range s.targets {
		t.reportedLoad = t.runningRequests
		if t.reportsZeroLoad {
			t.reportedLoad = 0
		}
	}
	s.scheduleAt(s.now+loadReportInterval, s.updateReportedLoads)
}

// finalReport returns the report of the finished run. RequestsMaxOverMean leaves out the
// targets that join during the run or fail requests.
func (s *slotSim) finalReport(c slotScenario) Report {
	r := Report{Scenario: c.name, Deployment: s.deployment.Name, Policy: s.settings.Policy, Seed: s.settings.Seed, DurationSeconds: c.duration.Seconds(), BrokenFlowsByCause: map[string]int{}}
	r.WaitP99MS = percentile(s.waitsMS, 0.99)
	r.IdealWaitP99MS = percentile(s.idealWaitsMS, 0.99)
	r.RefusedRequests = s.refusedRequests
	var requestsRun []float64
	for _, t := range s.targets {
		if t.joinsAt == 0 && !t.failsRequests {
			requestsRun = append(requestsRun, float64(t.requestsRun))
		}
	}
	r.RequestsMaxOverMean, _ = imbalance(requestsRun)
	duration := c.duration
	if s.goodputWindow[1] > 0 {
		duration = s.goodputWindow[1] - s.goodputWindow[0]
	}
	r.GoodputShare = s.goodputSeconds / (float64(s.totalSlots()) * duration.Seconds())
	r.ExtraRequestShare = ratio(float64(s.sentRequests-s.completedRequests), float64(s.completedRequests))
	return r
}

// percentile returns the value at share p of the sorted values, or 0 without values.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(p*float64(len(sorted)-1))]
}

// runSlotScenario simulates a slot scenario. The error is an *UnknownNameError.
func runSlotScenario(settings Settings, c slotScenario, d Deployment) (Report, error) {
	if !slices.Contains(SlotPolicies(), settings.Policy) {
		return Report{}, &UnknownNameError{Kind: "policy", Name: string(settings.Policy)}
	}
	if settings.Duration > 0 {
		c.duration = settings.Duration
	}
	return newSlotSim(settings, d).run(c), nil
}
