// Package soaker is a soak test of the real program. It runs instances as separate
// processes on loopback addresses, injects random faults, and meanwhile checks invariants
// on what simulated callers, targets and an operator observe. It signals only processes
// that it started.
package soaker

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
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

// Durations of the phases of a soak test and the time limits of its checks.
const (
	faultSettleTime = 5 * time.Second  // after an unplanned fault; time limits are not checked before it has passed
	inForceTimeout  = 3 * time.Second  // from the acknowledgement of a configuration until it has to be in force
	recoveryTime    = 15 * time.Second // between the last fault and the final checks
	stopTimeout     = 5 * time.Second  // for an instance to exit after a signal; its settings name the same time
	warmupTime      = 6 * time.Second  // before the first fault
	diskRepairTime  = 9 * time.Second  // for the replacement of a wiped disk; no other may be wiped before it has passed
	// extraRouteProbeInterval is the pause between flows to extraAddress, each through one instance.
	extraRouteProbeInterval = 50 * time.Millisecond
	putTimeout              = 5 * time.Second // until the operator stops retrying a configuration
)

// Soak tests use the /16 networks 127.64.0.0 to 127.213.0.0, one each.
const (
	firstLoopbackNetwork = 64
	loopbackNetworks     = 150
)

// Settings of a soak test.
type Settings struct {
	ProgramPath             string
	Folder                  string // for settings, data and logs of the instances
	Seed                    uint64
	FaultDuration           time.Duration // how long faults are injected
	StorageInstanceCount    int           // instances with a data folder, which run a voter
	ForwardingInstanceCount int           // instances without a data folder, which take the packets of flows
	CallerCount             int
}

// Report is the result of a soak test.
type Report struct {
	Seed                       uint64
	Violations                 []string // of invariants, each with its details
	Faults                     []string // planned operations and faults, in order
	Requests                   int      // sent by callers
	AnsweredRequests           int
	RefusedRequests            int // whose flow was reset before it opened
	RestartedTargets           int // started again under their identity
	OddEntries                 int // sent by another writer
	SlowStartFlows             int // accepted by targets in slow start
	AcknowledgedConfigurations int
	Evacuations                int // acknowledged
}

// Soak is a soak test in progress.
type Soak struct {
	settings                 Settings
	log                      *slog.Logger
	random                   *rand.Rand
	checker                  *checker
	storageInstances         []*instance
	forwardingInstances      []*instance
	fabric                   *fabric
	callers                  []*caller
	targetsByPool            map[string][]*target // oldest first
	lastTargetNumber         uint64
	lastConfigurationVersion uint64
	lastHasExtraRoute        bool       // the last configuration has the route to extraAddress
	evacuationRandom         *rand.Rand // a source of its own, so that the faults of a seed do not depend on the orders
	evacuated                string     // data centre whose evacuation may be in force, "" for none
	loopbackNetwork          byte       // second byte of all addresses
	reservation              net.Listener

	mu           sync.Mutex
	lastFaultEnd time.Time // of unplanned faults
	activeFaults int       // unplanned ones
	faultLog     []string
	lastWipeAt   time.Time // of wipeDisk, which alone uses it
	// restartedTargets have started again under their identity.
	restartedTargets []*target
	oddEntries       int // sent by another writer
	done             chan struct{}
	goroutines       sync.WaitGroup
}

// Names of the target pools.
const (
	menuPool = "menus"
	packPool = "packs"
)

// Service addresses of the routes. Only some configurations have the route to
// extraAddress.
var (
	menuAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	packAddress  = netip.MustParseAddrPort("198.18.0.2:443")
	extraAddress = netip.MustParseAddrPort("198.18.0.9:443")
)

// Run runs one soak test. It returns an error only if the deployment does not start;
// violations of invariants are in the report.
func Run(settings Settings, log *slog.Logger) (Report, error) {
	s := &Soak{
		settings: settings, log: log, random: rand.New(rand.NewPCG(settings.Seed, 11)), checker: newChecker(),
		evacuationRandom: rand.New(rand.NewPCG(settings.Seed, 12)),
		targetsByPool:    make(map[string][]*target), done: make(chan struct{}), lastFaultEnd: time.Now(),
	}
	s.checker.undisturbedSince = s.undisturbedSince
	s.checker.poolByAddress[menuAddress.String()], s.checker.poolByAddress[extraAddress.String()] = menuPool, menuPool
	s.checker.poolByAddress[packAddress.String()] = packPool
	defer s.close()
	if err := s.startDeployment(); err != nil {
		return Report{}, err
	}
	s.startBackgroundWork()
	s.sleep(warmupTime)
	for faultsUntil := time.Now().Add(settings.FaultDuration); time.Now().Before(faultsUntil); {
		s.injectFault()
		if s.evacuationRandom.Float64() < evacuationProbability {
			s.changeEvacuation()
		}
		s.sleep(time.Duration(300+s.random.IntN(1500)) * time.Millisecond)
	}
	s.endFaults()
	s.evacuateUntilRestored(s.silenceConnections)
	s.sleep(recoveryTime)
	s.checkTargetsGetWork()
	s.checkFinalState()
	return s.report(), nil
}

// reserveLoopbackNetwork chooses a /16 of 127.0.0.0/8 that no other soak test uses. It begins with
// the one that the seed names, because two soak tests of a seed may run at a time, and holds the
// chosen one by a listener on its first host until the soak test is closed.
func (s *Soak) reserveLoopbackNetwork() error {
	var err error
	for n := range uint64(loopbackNetworks) {
		s.loopbackNetwork = byte(firstLoopbackNetwork + (s.settings.Seed+n)%loopbackNetworks)
		s.reservation, err = net.Listen("tcp4", netip.AddrPortFrom(s.loopbackAddress(0, 0, 0), apiPort).String())
		if !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

// loopbackAddress returns an address in the reserved /16 of 127.0.0.0/8. Network 0 is that of the
// reservation. Networks 1 and 2 are the advertised and the listen addresses of the instances, 3 those of
// targets, and 4 those of callers.
func (s *Soak) loopbackAddress(network, dataCentre, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.loopbackNetwork, byte(network*16 + dataCentre), byte(host + 1)})
}

// startDeployment starts the instances, the targets and the callers.
func (s *Soak) startDeployment() error {
	if err := s.reserveLoopbackNetwork(); err != nil {
		return err
	}
	for n := range s.settings.StorageInstanceCount + s.settings.ForwardingInstanceCount {
		if err := s.addInstance(n); err != nil {
			return err
		}
	}
	for _, i := range s.allInstances() {
		if err := i.writeSettings(s.seedAddresses(), true); err != nil {
			return err
		}
		if err := i.start(s.settings.ProgramPath); err != nil {
			return err
		}
	}
	s.fabric = &fabric{instances: s.forwardingInstances, failedProbes: make(map[string]int)}
	for _, pool := range []string{menuPool, menuPool, menuPool, menuPool, menuPool, packPool, packPool, packPool} {
		if err := s.addTarget(pool); err != nil {
			return err
		}
	}
	for n := range s.settings.CallerCount {
		c, err := startCaller(s.loopbackAddress(4, n%3, n), s.fabric, s.checker)
		if err != nil {
			return err
		}
		s.callers = append(s.callers, c)
	}
	return nil
}

// addInstance creates an instance, without starting it, and starts the proxy in front of
// its peer socket.
func (s *Soak) addInstance(n int) error {
	dataCentre := n % 3
	i := &instance{
		name: fmt.Sprintf("i%d", n), dataCentre: dataCentres[dataCentre], isStorageInstance: n < s.settings.StorageInstanceCount,
		advertisedIP: s.loopbackAddress(1, dataCentre, n), listenIP: s.loopbackAddress(2, dataCentre, n), folder: filepath.Join(s.settings.Folder, fmt.Sprintf("i%d", n)),
	}
	if err := os.MkdirAll(i.folder, 0o700); err != nil {
		return err
	}
	listenAddress := i.peerListenAddress()
	var err error
	if i.proxy, err = newProxy(netip.AddrPortFrom(i.advertisedIP, listenAddress.Port()), listenAddress, rand.IntN); err != nil {
		return err
	}
	if i.isStorageInstance {
		s.storageInstances = append(s.storageInstances, i)
	} else {
		s.forwardingInstances = append(s.forwardingInstances, i)
	}
	return nil
}

func (s *Soak) allInstances() []*instance {
	return append(append([]*instance(nil), s.storageInstances...), s.forwardingInstances...)
}

// seedAddresses returns the seeds for the settings of the instances: the advertised IP
// addresses of up to three storage instances. An instance uses only the IP address of a
// seed; nothing listens on the port.
func (s *Soak) seedAddresses() []string {
	var addresses []string
	for _, i := range s.storageInstances[:min(3, len(s.storageInstances))] {
		addresses = append(addresses, netip.AddrPortFrom(i.advertisedIP, apiPort).String())
	}
	return addresses
}

// addTarget starts another target of the pool.
func (s *Soak) addTarget(pool string) error {
	s.lastTargetNumber++
	n := int(s.lastTargetNumber)
	dataCentre := n % 3
	endpoint := netip.AddrPortFrom(s.loopbackAddress(3, dataCentre, n%250), 9000)
	t, err := startTarget(uint64(0xa000000000)+s.lastTargetNumber, pool, dataCentres[dataCentre], endpoint, s.shuffledOperatorAddresses, s.checker, false)
	if err != nil {
		return err
	}
	s.targetsByPool[pool] = append(s.targetsByPool[pool], t)
	return nil
}

// shuffledOperatorAddresses returns the operator addresses of all storage instances in
// random order.
func (s *Soak) shuffledOperatorAddresses() []string {
	var addresses []string
	for _, index := range rand.Perm(len(s.storageInstances)) {
		addresses = append(addresses, s.storageInstances[index].operatorAddress())
	}
	return addresses
}

// undisturbedSince reports whether no unplanned fault is active, and the last one ended
// more than faultSettleTime before since.
func (s *Soak) undisturbedSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeFaults == 0 && s.lastFaultEnd.Add(faultSettleTime).Before(since)
}

// sleep waits for the duration or until the soak test is closed.
func (s *Soak) sleep(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-s.done:
	}
}

// runPeriodically calls f until the soak test is closed. The interval is the pause
// between two calls.
func (s *Soak) runPeriodically(interval time.Duration, f func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		for {
			f()
			select {
			case <-s.done:
				return
			case <-time.After(interval):
			}
		}
	}()
}

// startBackgroundWork sends some odd entries and the first configuration, and starts everything
// that runs throughout the test: readiness probes, configuration reads, flows to extraAddress, and
// the requests of all callers.
func (s *Soak) startBackgroundWork() {
	s.sleep(time.Second)
	for range 3 {
		s.sendOddEntry()
	}
	s.putConfiguration()
	s.runPeriodically(probeInterval, s.fabric.probeInstances)
	s.runPeriodically(400*time.Millisecond, s.checkConfigurationRead)
	probeCount := 0
	s.runPeriodically(extraRouteProbeInterval, func() {
		probeCount++
		request, sentAt := fmt.Sprintf("probe-%d", probeCount), time.Now()
		outcome := s.callers[0].sendRequest(request, extraAddress)
		s.checker.recordOutcome(request, outcome.response, outcome.refused)
		s.checker.checkExtraRouteProbe(sentAt, outcome)
	})
	for n, c := range s.callers {
		requestCount := 0
		s.runPeriodically(15*time.Millisecond, func() {
			requestCount++
			request := fmt.Sprintf("c%d-r%d", n, requestCount)
			destination := menuAddress
			if requestCount%4 == 0 {
				destination = packAddress
			}
			outcome := c.sendRequest(request, destination)
			s.checker.recordOutcome(request, outcome.response, outcome.refused)
		})
	}
}

// encodeConfiguration returns a configuration as the operator sends it. CallerTimeout
// depends on the version. The pool of the other route has the weight 0: it gets nothing, even
// while the route's own pool is evacuated.
func encodeConfiguration(version uint64, withExtraRoute bool) string {
	route := func(name string, address netip.AddrPort, retryPolicy planner.RetryPolicy, pool, other string) planner.Route {
		return planner.Route{
			Name: name, Address: address, RetryPolicy: retryPolicy, CallerTimeout: 2*time.Second + time.Duration(version%500)*time.Millisecond,
			LatencyObjective: 200 * time.Millisecond, WeightedPools: []planner.WeightedPool{{Pool: other}, {Pool: pool, Weight: 1}},
		}
	}
	ruleset := planner.Ruleset{
		Version: version, IdleTimeout: 15 * time.Second, Pools: []planner.Pool{{Name: menuPool, HealthPath: "/h", SlowStart: slowStartTime, SlowStartRate: slowStartRate}, {Name: packPool, HealthPath: "/h"}},
		Routes: []planner.Route{route("menu", menuAddress, planner.Idempotent, menuPool, packPool), route("pack", packAddress, planner.Transfer, packPool, menuPool)},
	}
	if withExtraRoute {
		ruleset.Routes = append(ruleset.Routes, route("extra", extraAddress, planner.Once, menuPool, packPool))
	}
	document, err := platform.EncodeConfiguration(ruleset)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return string(document)
}

// putConfiguration sends a new configuration to the storage instances in turn, with
// exponential backoff between rounds, until one acknowledges it. It reports whether one
// did within putTimeout.
func (s *Soak) putConfiguration() bool {
	return s.putConfigurationWith(s.random.IntN(2) == 0)
}

// putConfigurationWith is putConfiguration with or without the route to extraAddress.
func (s *Soak) putConfigurationWith(extraRoute bool) bool {
	s.lastConfigurationVersion += 1 + s.random.Uint64N(3)
	s.lastHasExtraRoute = extraRoute
	body := encodeConfiguration(s.lastConfigurationVersion, s.lastHasExtraRoute)
	s.checker.recordPut(s.lastConfigurationVersion, body, s.lastHasExtraRoute, 0)
	startedAt := time.Now()
	for backoff := 50 * time.Millisecond; time.Since(startedAt) < putTimeout; backoff *= 2 {
		for _, address := range s.shuffledOperatorAddresses() {
			status, _ := callHTTP(address, http.MethodPut, platform.ConfigurationPath, body)
			s.checker.recordPut(s.lastConfigurationVersion, body, s.lastHasExtraRoute, status)
			if status == http.StatusOK {
				return true
			}
		}
		s.sleep(backoff)
	}
	return false
}

// checkConfigurationRead reads the configuration from a random storage instance and
// checks it.
func (s *Soak) checkConfigurationRead() {
	minVersion := s.checker.newestAcknowledged(time.Now())
	if status, body := callHTTP(s.shuffledOperatorAddresses()[0], http.MethodGet, platform.ConfigurationPath, ""); status == http.StatusOK {
		s.checker.checkRead(minVersion, body)
	}
}

// checkFinalState checks that the deployment has recovered from all faults: every storage
// instance answers reads, nearly all requests are answered, a new configuration is
// acknowledged, and no process has exited by itself.
func (s *Soak) checkFinalState() {
	minVersion := s.checker.newestAcknowledged(time.Now())
	for _, address := range s.shuffledOperatorAddresses() {
		status, body := callHTTP(address, http.MethodGet, platform.ConfigurationPath, "")
		if status != http.StatusOK {
			s.checker.mu.Lock()
			s.checker.addViolation("recovery", "%s answers a read with %d", address, status)
			s.checker.mu.Unlock()
			continue
		}
		s.checker.checkRead(minVersion, body)
	}
	answered := 0
	const attempts = 60
	for n := range attempts {
		request := fmt.Sprintf("final-%d", n)
		outcome := s.callers[n%len(s.callers)].sendRequest(request, []netip.AddrPort{menuAddress, packAddress}[n%2])
		s.checker.recordOutcome(request, outcome.response, outcome.refused)
		if outcome.response != "" {
			answered++
		}
	}
	acknowledged := s.putConfiguration()
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	if !acknowledged {
		s.checker.addViolation("recovery", "an order was not acknowledged at the end")
	}
	if answered < attempts*9/10 {
		s.checker.addViolation("recovery", "%d of %d requests were served at the end", answered, attempts)
	}
	for _, i := range s.allInstances() {
		if !i.running() {
			s.checker.addViolation("processes", "%s ended by itself", i.name)
		}
	}
}

func (s *Soak) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	return Report{
		Seed: s.settings.Seed, Violations: s.checker.violations, Faults: s.faultLog,
		Requests: s.checker.requests, AnsweredRequests: s.checker.answeredRequests, RefusedRequests: s.checker.refusedRequests,
		RestartedTargets: len(s.restartedTargets), OddEntries: s.oddEntries, SlowStartFlows: s.checker.slowStartFlows, AcknowledgedConfigurations: len(s.checker.acknowledgedAt),
		Evacuations: s.checker.evacuations,
	}
}

// close stops all goroutines and processes that the soak test started.
func (s *Soak) close() {
	close(s.done)
	s.goroutines.Wait()
	for _, i := range s.allInstances() {
		i.signal(syscall.SIGCONT)
		i.stop(syscall.SIGKILL)
		i.proxy.close()
	}
	for _, t := range s.liveTargets() {
		t.stop(true)
	}
	for _, c := range s.callers {
		c.close()
	}
	if s.reservation != nil {
		_ = s.reservation.Close()
	}
}
