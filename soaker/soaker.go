// Package soaker plays random faults against the real program, as separate processes on
// loopback, and checks its promises while they run from what callers, targets and the
// operator see. It ends only the processes that it started.
package soaker

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"almondpick/planner"
	"almondpick/platform"
)

// Times of the soak.
const (
	settle      = 5 * time.Second  // after a fault until time bounds hold again
	applyLimit  = 3 * time.Second  // until an acknowledged configuration is in force
	recoverWait = 15 * time.Second // after the last fault
	stopGrace   = 5 * time.Second
	quietStart  = 6 * time.Second
	repairTime  = 9 * time.Second // between two losses of a disk
	putLimit    = 5 * time.Second // until an operator gives an order up
)

// Settings of a soak.
type Settings struct {
	ProgramPath          string
	Folder               string
	Seed                 uint64
	FaultDuration        time.Duration
	ControlInstanceCount int
	DataInstanceCount    int
	CallerCount          int
}

// Report is what a soak has seen.
type Report struct {
	Seed                       uint64
	Violations                 []string
	Faults                     []string
	Requests                   int
	AnsweredRequests           int
	RefusedRequests            int
	AcknowledgedConfigurations int
}

// Soak is a running one.
type Soak struct {
	set     Settings
	log     *slog.Logger
	random  *rand.Rand
	ledger  *ledger
	stores  []*instance
	entries []*instance
	fabric  *fabric
	callers []*caller
	targets map[string][]*target // by pool
	number  uint64               // of targets
	version uint64
	extra   bool // whether the last configuration has the extra route

	mu      sync.Mutex
	lastBad time.Time // end of the last unplanned fault
	active  int
	faults  []string
	wiped   time.Time
	done    chan struct{}
	loops   sync.WaitGroup
}

// The pools.
const (
	menus = "menus"
	packs = "packs"
)

var (
	menuRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	packRoute  = netip.MustParseAddrPort("198.18.0.2:443")
	extraRoute = netip.MustParseAddrPort("198.18.0.9:443")
)

// Run plays one soak. The error is that of the preparation; broken promises are in the
// report.
func Run(set Settings, log *slog.Logger) (Report, error) {
	s := &Soak{
		set: set, log: log, random: rand.New(rand.NewPCG(set.Seed, 11)), ledger: newLedger(),
		targets: make(map[string][]*target), done: make(chan struct{}), lastBad: time.Now(),
	}
	s.ledger.calm = s.calm
	s.ledger.pools[menuRoute.String()], s.ledger.pools[extraRoute.String()] = menus, menus
	s.ledger.pools[packRoute.String()] = packs
	defer s.close()
	if err := s.prepare(); err != nil {
		return Report{}, err
	}
	s.background()
	s.rest(quietStart)
	for end := time.Now().Add(set.FaultDuration); time.Now().Before(end); {
		s.fault()
		s.rest(time.Duration(300+s.random.IntN(1500)) * time.Millisecond)
	}
	s.heal()
	s.rest(recoverWait)
	s.final()
	return s.report(), nil
}

// address returns an address of the soak's own loopback range, which the seed picks.
func (s *Soak) address(net, zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + s.set.Seed%150), byte(net*16 + zone), byte(n + 1)})
}

// prepare starts the instances, the targets and the callers.
func (s *Soak) prepare() error {
	for n := range s.set.ControlInstanceCount + s.set.DataInstanceCount {
		if err := s.addInstance(n); err != nil {
			return err
		}
	}
	for _, i := range s.all() {
		if err := i.settings(s.seeds(), true); err != nil {
			return err
		}
		if err := i.start(s.set.ProgramPath); err != nil {
			return err
		}
	}
	s.fabric = &fabric{all: s.entries, miss: make(map[string]int)}
	for _, pool := range []string{menus, menus, menus, menus, menus, packs, packs, packs} {
		if err := s.addTarget(pool); err != nil {
			return err
		}
	}
	for n := range s.set.CallerCount {
		c, err := startCaller(s.address(4, n%3, n), s.fabric, s.ledger)
		if err != nil {
			return err
		}
		s.callers = append(s.callers, c)
	}
	return nil
}

// addInstance makes an instance and the proxy before it.
func (s *Soak) addInstance(n int) error {
	zone := n % 3
	i := &instance{
		name: fmt.Sprintf("i%d", n), zone: fmt.Sprintf("zone-%d", zone), store: n < s.set.ControlInstanceCount,
		ip: s.address(1, zone, n), own: s.address(2, zone, n), folder: filepath.Join(s.set.Folder, fmt.Sprintf("i%d", n)),
	}
	if err := os.MkdirAll(i.folder, 0o700); err != nil {
		return err
	}
	at := i.peerListen()
	var err error
	if i.proxy, err = newProxy(netip.AddrPortFrom(i.ip, at.Port()), at, rand.IntN); err != nil {
		return err
	}
	if i.store {
		s.stores = append(s.stores, i)
	} else {
		s.entries = append(s.entries, i)
	}
	return nil
}

func (s *Soak) all() []*instance {
	return append(append([]*instance(nil), s.stores...), s.entries...)
}

func (s *Soak) seeds() []string {
	var out []string
	for _, i := range s.stores[:min(3, len(s.stores))] {
		out = append(out, netip.AddrPortFrom(i.ip, controlPort).String())
	}
	return out
}

func (s *Soak) addTarget(pool string) error {
	s.number++
	n := int(s.number)
	zone := n % 3
	at := netip.AddrPortFrom(s.address(3, zone, n%250), 9000)
	t, err := startTarget(uint64(0xa000000000)+s.number, pool, fmt.Sprintf("zone-%d", zone), at, s.controls, s.ledger)
	if err != nil {
		return err
	}
	s.targets[pool] = append(s.targets[pool], t)
	return nil
}

// controls returns the stores' addresses in some order.
func (s *Soak) controls() []string {
	var out []string
	for _, n := range rand.Perm(len(s.stores)) {
		out = append(out, s.stores[n].controlAddress())
	}
	return out
}

// calm tells whether no unplanned fault was active since a time, nor shortly before.
func (s *Soak) calm(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active == 0 && s.lastBad.Add(settle).Before(since)
}

func (s *Soak) rest(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.done:
	}
}

// every runs f at intervals until the soak ends.
func (s *Soak) every(d time.Duration, f func()) {
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		for {
			f()
			select {
			case <-s.done:
				return
			case <-time.After(d):
			}
		}
	}()
}

func (s *Soak) background() {
	s.put()
	s.every(probeEvery, s.fabric.probe)
	s.every(400*time.Millisecond, s.readBack)
	probe := 0
	s.every(500*time.Millisecond, func() {
		probe++
		name, at := fmt.Sprintf("probe-%d", probe), time.Now()
		end := s.callers[0].request(name, extraRoute)
		s.ledger.got(name, end.answer, end.refused)
		s.ledger.probed(at, end)
	})
	for n, c := range s.callers {
		number := 0
		s.every(15*time.Millisecond, func() {
			number++
			name := fmt.Sprintf("c%d-r%d", n, number)
			to := menuRoute
			if number%4 == 0 {
				to = packRoute
			}
			end := c.request(name, to)
			s.ledger.got(name, end.answer, end.refused)
		})
	}
}

// document is a configuration; some have one route more.
func document(version uint64, extra bool) string {
	route := func(name string, at netip.AddrPort, kind planner.RetryPolicy, pool string) planner.Route {
		return planner.Route{
			Name: name, Address: at, RetryPolicy: kind, CallerTimeout: 2*time.Second + time.Duration(version%500)*time.Millisecond,
			LatencyObjective: 200 * time.Millisecond, WeightedPools: []planner.WeightedPool{{Pool: pool, Weight: 1}},
		}
	}
	r := planner.Ruleset{
		Version: version, IdleTimeout: 15 * time.Second, Pools: []planner.Pool{{Name: menus, HealthPath: "/h"}, {Name: packs, HealthPath: "/h"}},
		Routes: []planner.Route{route("menu", menuRoute, planner.Idempotent, menus), route("pack", packRoute, planner.Transfer, packs)},
	}
	if extra {
		r.Routes = append(r.Routes, route("extra", extraRoute, planner.Once, menus))
	}
	b, err := platform.EncodeConfiguration(r)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return string(b)
}

// put sends the next configuration, to one store after the other with growing pauses,
// until one acknowledges it or the operator gives up.
func (s *Soak) put() bool {
	s.version += 1 + s.random.Uint64N(3)
	s.extra = s.random.IntN(2) == 0
	body := document(s.version, s.extra)
	s.ledger.put(s.version, body, s.extra, 0)
	began := time.Now()
	for pause := 50 * time.Millisecond; time.Since(began) < putLimit; pause *= 2 {
		for _, at := range s.controls() {
			status, _ := call(at, http.MethodPut, platform.ConfigurationPath, body)
			s.ledger.put(s.version, body, s.extra, status)
			if status == http.StatusOK {
				return true
			}
		}
		s.rest(pause)
	}
	return false
}

func (s *Soak) readBack() {
	floor := s.ledger.newest(time.Now())
	if status, body := call(s.controls()[0], http.MethodGet, platform.ConfigurationPath, ""); status == http.StatusOK {
		s.ledger.read(floor, body)
	}
}

// final checks what must hold once everything has been healed.
func (s *Soak) final() {
	floor := s.ledger.newest(time.Now())
	for _, at := range s.controls() {
		status, body := call(at, http.MethodGet, platform.ConfigurationPath, "")
		if status != http.StatusOK {
			s.ledger.mu.Lock()
			s.ledger.breaks("recovery", "%s answers a read with %d", at, status)
			s.ledger.mu.Unlock()
			continue
		}
		s.ledger.read(floor, body)
	}
	served := 0
	const tries = 60
	for n := range tries {
		name := fmt.Sprintf("final-%d", n)
		end := s.callers[n%len(s.callers)].request(name, []netip.AddrPort{menuRoute, packRoute}[n%2])
		s.ledger.got(name, end.answer, end.refused)
		if end.answer != "" {
			served++
		}
	}
	acked := s.put()
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if !acked {
		s.ledger.breaks("recovery", "an order was not acknowledged at the end")
	}
	if served < tries*9/10 {
		s.ledger.breaks("recovery", "%d of %d requests were served at the end", served, tries)
	}
	for _, i := range s.all() {
		if !i.runs() {
			s.ledger.breaks("processes", "%s ended by itself", i.name)
		}
	}
}

func (s *Soak) report() Report {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return Report{
		Seed: s.set.Seed, Violations: s.ledger.broken, Faults: s.faults,
		Requests: s.ledger.asked, AnsweredRequests: s.ledger.answered, RefusedRequests: s.ledger.refused, AcknowledgedConfigurations: len(s.ledger.acked),
	}
}

// close ends everything that the soak started.
func (s *Soak) close() {
	close(s.done)
	s.loops.Wait()
	for _, i := range s.all() {
		i.signal(syscall.SIGCONT)
		i.stop(syscall.SIGKILL)
		i.proxy.close()
	}
	for _, list := range s.targets {
		for _, t := range list {
			t.end(true)
		}
	}
	for _, c := range s.callers {
		c.close()
	}
}
