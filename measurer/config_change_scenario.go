package measurer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/platform"
	"almondpick/ranker"
)

// WholeRulesets is the policy by which each instance fetches each configuration whole, with the
// operator's document, from any member that is known to have it.
const WholeRulesets Policy = "whole-rulesets"

// configChangeScenario is a run of the membership protocol in which configurations come into force
// at the storage instances and are fetched by all others.
type configChangeScenario struct {
	name      string
	instances int
	// storageDataCentres is the number of data centres that have storage instances.
	storageDataCentres int
}

func configChangeScenarios() []configChangeScenario {
	var scenarios []configChangeScenario
	for _, instances := range []int{30, 100, 300} {
		scenarios = append(scenarios,
			configChangeScenario{fmt.Sprintf("%s%d", configChangePrefix, instances), instances, configDataCentres},
			configChangeScenario{fmt.Sprintf("%sno-storage-%d", configChangePrefix, instances), instances, configDataCentres - 1})
	}
	return scenarios
}

// ConfigChangeBytes is what a change of a configuration costs.
type ConfigChangeBytes struct {
	Routes      int     `json:"routes"`
	Change      string  `json:"change"`
	PerInstance float64 `json:"bytes-per-instance"`        // calls and version reports, mean over the forwarding instances
	RemoteBytes float64 `json:"remote-bytes-per-instance"` // the part of the calls that crosses between data centres
}

const configChangePrefix = "config-change-" // of the names of the scenarios

// Parameters of the scenarios of configuration changes.
const (
	configDataCentres      = 3
	configStorageInstances = 2 // in each data centre that has any
	configChangeCount      = 20
	configChangeInterval   = 5 * time.Second // longer than connections stay open and versions take to spread
	// callOverheadBytes is what a call that opens its connection takes on it besides the payload:
	// both ends' HTTP/2 settings, headers and acknowledgements.
	callOverheadBytes = 412
	configFetchTime   = gossipTickInterval
	// configLocalDelay and configRelayReports are localFetchDelay and maxRelayReports of the controller.
	configLocalDelay   = 100 * time.Millisecond
	configRelayReports = 16
)

// configNode is the state of fetching a configuration of an instance.
type configNode struct {
	behindSince time.Duration // 0 while it is not behind
	fetchFrom   int           // instance that is being asked, if fetchEndsAt is set
	fetchEndsAt time.Duration
	asked       map[int]bool // asked without success since behindSince
	inForceAt   time.Duration
}

// configChangeSim spreads configurations by gossip and calls.
type configChangeSim struct {
	*gossipSim
	scenario    configChangeScenario
	policy      Policy
	nodes       []configNode
	version     uint64
	calls       int
	remoteCalls int
	emptyCalls  int
	delays      []time.Duration // until each forwarding instance had each version
}

// configDataCentre returns the number of the data centre of an instance.
func configDataCentre(i int) int { return i % configDataCentres }

// isStorage reports whether an instance has the log.
func (s *configChangeSim) isStorage(i int) bool {
	return i < configDataCentres*configStorageInstances && configDataCentre(i) < s.scenario.storageDataCentres
}

func newConfigChangeSim(seed uint64, c configChangeScenario, p Policy) (*configChangeSim, error) {
	gossip, err := newGossipSim(seed, 0)
	if err != nil {
		return nil, err
	}
	s := &configChangeSim{gossipSim: gossip, scenario: c, policy: p, nodes: make([]configNode, c.instances)}
	for i := range c.instances {
		gossip.nodeByAddress[peerAddress(i)] = i
		self := gossiper.Instance{
			Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", configDataCentre(i)),
			PeerAddress: peerAddress(i), RPCAddress: peerAddress(i), Serving: true,
		}
		if s.isStorage(i) {
			self.VoterID = self.Name + "#disk"
		}
		g := gossiper.New(self, 1, gossiper.WithSeeds(peerAddress(0), peerAddress(1)),
			gossiper.WithRandom(rand.New(rand.NewPCG(gossip.random.Uint64(), uint64(i)))))
		gossip.nodes = append(gossip.nodes, &gossipNode{gossiper: g, incarnation: 1})
	}
	gossip.advanceFetch = s.step
	return s, nil
}

// step advances the fetching of an instance.
func (s *configChangeSim) step(i int) {
	node := &s.nodes[i]
	if s.isStorage(i) {
		return
	}
	if node.fetchEndsAt != 0 && s.now >= node.fetchEndsAt {
		s.endFetch(i)
	}
	newest := s.gossipSim.nodes[i].gossiper.NewestConfigMembers()
	if len(newest) == 0 {
		node.behindSince = 0
		return
	}
	if node.behindSince == 0 {
		node.behindSince, node.asked = s.now, make(map[int]bool)
	}
	if node.fetchEndsAt == 0 {
		if from, ok := s.source(i, newest); ok {
			node.fetchFrom, node.fetchEndsAt = from, s.now+configFetchTime
			s.calls++
			if configDataCentre(from) != configDataCentre(i) {
				s.remoteCalls++
			}
		}
	}
}

// endFetch gives an instance the version of the one that it has asked.
func (s *configChangeSim) endFetch(i int) {
	node := &s.nodes[i]
	node.fetchEndsAt = 0
	version := s.gossipSim.nodes[node.fetchFrom].configVersion
	if version <= s.gossipSim.nodes[i].configVersion {
		node.asked[node.fetchFrom] = true
		s.emptyCalls++
		return
	}
	s.setVersion(i, version)
	if s.policy == Almondpick && configDataCentre(node.fetchFrom) != configDataCentre(i) {
		s.gossipSim.nodes[i].gossiper.SetConfigVersion(version, s.relaySubscribers(i))
	}
	s.delays = append(s.delays, s.now-node.inForceAt)
}

func (s *configChangeSim) setVersion(i int, version uint64) {
	s.gossipSim.nodes[i].configVersion = version
	s.gossipSim.nodes[i].gossiper.SetConfigVersion(version, nil)
}

// relaySubscribers returns members of the data centre of an instance, which it reports a version to
// at once that it has fetched from another data centre.
func (s *configChangeSim) relaySubscribers(i int) []string {
	var names []string
	for n := range s.nodes {
		if n != i && configDataCentre(n) == configDataCentre(i) && len(names) < configRelayReports {
			names = append(names, fmt.Sprintf("i%d", n))
		}
	}
	return names
}

// source returns the instance that the next call is made to, as the controller chooses it.
func (s *configChangeSim) source(i int, newest []gossiper.Member) (int, bool) {
	first := s.nodeByAddress[newest[0].RPCAddress]
	if s.policy == WholeRulesets || configDataCentre(first) == configDataCentre(i) {
		return first, true
	}
	if storage, ok := s.likelySource(i); ok {
		return storage, true
	}
	mayLeave := s.now-s.nodes[i].behindSince >= configLocalDelay || s.fetchesForDataCentre(i, newest[0].ConfigVersion)
	return first, mayLeave
}

// likelySource returns a storage instance of the own data centre that has not been asked without success.
func (s *configChangeSim) likelySource(i int) (int, bool) {
	best, found := 0, false
	score := func(n int) uint64 {
		return ranker.Score(ranker.Hash(fmt.Sprintf("i%d", i)), ranker.Hash(fmt.Sprintf("i%d", n)))
	}
	for n := range s.nodes {
		if s.isStorage(n) && configDataCentre(n) == configDataCentre(i) && !s.nodes[i].asked[n] && (!found || score(n) > score(best)) {
			best, found = n, true
		}
	}
	return best, found
}

// fetchesForDataCentre reports whether an instance ranks first in its data centre for a version.
func (s *configChangeSim) fetchesForDataCentre(i int, version uint64) bool {
	score := func(n int) uint64 { return ranker.Score(version, ranker.Hash(fmt.Sprintf("i%d", n))) }
	for n := range s.nodes {
		if !s.isStorage(n) && configDataCentre(n) == configDataCentre(i) && score(n) > score(i) {
			return false
		}
	}
	return true
}

// putInForce makes the next version come into force at the storage instances.
func (s *configChangeSim) putInForce() {
	s.version++
	for i := range s.nodes {
		s.nodes[i].inForceAt = s.now
		if s.isStorage(i) {
			s.setVersion(i, s.version)
		}
	}
}

// runConfigChangeScenario puts configurations into force one after the other, counts the calls, and
// computes from them what each kind of change costs.
func runConfigChangeScenario(settings Settings, c configChangeScenario) (Report, error) {
	if settings.Policy != Almondpick && settings.Policy != WholeRulesets {
		return Report{}, &UnknownNameError{Kind: "policy", Name: string(settings.Policy)}
	}
	s, err := newConfigChangeSim(settings.Seed, c, settings.Policy)
	if err != nil {
		return Report{}, err
	}
	s.run(gossipWarmUp+time.Duration(c.instances)*warmUpPerInstance, nil)
	s.versionReportBytes = 0
	for range configChangeCount {
		s.putInForce()
		s.run(s.now+configChangeInterval, nil)
	}
	r := Report{Scenario: c.name, Deployment: "gossip", Policy: settings.Policy, Seed: settings.Seed, DurationSeconds: s.now.Seconds(), BrokenFlowsByCause: map[string]int{}}
	slices.Sort(s.delays)
	r.ConfigPropagationMS = float64(s.delays[len(s.delays)-1].Milliseconds())
	r.ConfigPropagationP99MS = float64(s.delays[len(s.delays)*99/100].Milliseconds())
	r.ConfigPropagationP50MS = float64(s.delays[len(s.delays)/2].Milliseconds())
	forwarding := float64(len(s.delays))
	r.CallsPerConfigChange, r.RemoteCallShare = float64(s.calls)/forwarding, ratio(float64(s.remoteCalls), float64(s.calls))
	for _, routes := range []int{240, 1600} {
		costs, err := s.changeCosts(routes, forwarding)
		if err != nil {
			return r, err
		}
		r.ConfigChanges = append(r.ConfigChanges, costs...)
	}
	return r, nil
}

// changeCosts returns what changes of a configuration cost. forwarding is the number of times that an
// instance has got a version.
func (s *configChangeSim) changeCosts(routes int, forwarding float64) ([]ConfigChangeBytes, error) {
	var costs []ConfigChangeBytes
	old := variedRuleset(routes)
	for _, change := range []string{changedTimeout, addedRoute, removedRoute} {
		payload, err := fetchPayload(old, changedRuleset(old, change), s.policy)
		if err != nil {
			return nil, err
		}
		call := float64(callOverheadBytes + payload)
		useful := s.calls - s.emptyCalls
		total := float64(useful)*call + float64(s.emptyCalls*callOverheadBytes) + s.versionReportBytes
		costs = append(costs, ConfigChangeBytes{
			Routes: routes, Change: change, PerInstance: total / forwarding, RemoteBytes: float64(s.remoteCalls) * call / forwarding,
		})
	}
	return costs, nil
}

// The changes of a configuration.
const (
	changedTimeout = "timeout"
	addedRoute     = "added"
	removedRoute   = "removed"
)

// variedRuleset returns a ruleset with routes of all types to two pools.
func variedRuleset(routes int) planner.Ruleset {
	random := rand.New(rand.NewPCG(1, 2))
	r := planner.Ruleset{Version: 1, IdleTimeout: time.Minute, Pools: []planner.Pool{
		{Name: "pool-a", HealthPath: "/health", MaxConnections: 2000}, {Name: "pool-b", HealthPath: "/health", MaxConnections: 500},
	}}
	for n := range routes {
		r.Routes = append(r.Routes, planner.Route{
			Name:          fmt.Sprintf("tenant-%d-route-%d", random.IntN(90), n),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), uint16(1+random.IntN(9000))),
			RetryPolicy:   planner.RetryPolicy(random.IntN(int(planner.Upload) + 1)),
			CallerTimeout: time.Duration(1+random.IntN(60)) * time.Second / 2, LatencyObjective: time.Duration(1+random.IntN(20)) * time.Second / 10,
			Priority:      random.IntN(3),
			WeightedPools: []planner.WeightedPool{{Pool: "pool-a", Weight: random.IntN(100)}, {Pool: "pool-b", Weight: 1 + random.IntN(100)}},
		})
	}
	return r
}

// changedRuleset returns the next version of a ruleset, with one change.
func changedRuleset(r planner.Ruleset, change string) planner.Ruleset {
	r.Version, r.Routes = r.Version+1, slices.Clone(r.Routes)
	middle := len(r.Routes) / 2
	switch change {
	case changedTimeout:
		r.Routes[middle].CallerTimeout += time.Second
	case addedRoute:
		added := r.Routes[middle]
		added.Name, added.Address = "added", netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, 0, 1}), 443)
		r.Routes = append(r.Routes, added)
	case removedRoute:
		r.Routes = slices.Delete(r.Routes, middle, middle+1)
	}
	return r
}

// fetchPayload returns the size of the request and the reply of a call that brings next to an
// instance with old, in bytes.
func fetchPayload(old, next planner.Ruleset, p Policy) (int, error) {
	const position = 2000 // of the command in the log
	request := messenger.FetchRequest{AfterIndex: position - 1}
	command := messenger.AppliedCommand{Index: position}
	var err error
	if p == WholeRulesets {
		if next.Source, err = platform.EncodeConfiguration(next); err != nil {
			return 0, err
		}
		command.Data, err = messenger.EncodeCommand(planner.Command{ReplaceRuleset: &next})
	} else {
		request.OmitDocument, request.RulesetVersion = true, old.Version
		command.RulesetChange, err = messenger.EncodeRulesetChange(planner.ChangeBetween(old, next))
	}
	if err != nil {
		return 0, err
	}
	asked, err := messenger.Encode(request)
	if err != nil {
		return 0, err
	}
	replied, err := messenger.Encode(messenger.FetchReply{Commands: []messenger.AppliedCommand{command}, AppliedIndex: position})
	return len(asked) + len(replied), err
}
