package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondpick/gossiper"
)

// gossipScenario is a run of the membership protocol with a number of instances. It measures
// the idle traffic, the propagation of a configuration and the detection of a crash.
type gossipScenario struct {
	name      string
	instances int
}

func gossipScenarios() []gossipScenario {
	return []gossipScenario{
		{"in-force-7", 7}, {"in-force-60", 60}, {"in-force-165", 165}, {"in-force-330", 330}, {"in-force-660", 660},
	}
}

// Parameters of the gossip scenarios.
const (
	gossipTickInterval  = 20 * time.Millisecond
	gossipWarmUp        = 20 * time.Second
	idleTrafficDuration = 40 * time.Second
	// All instances start at the same time. The traffic that announces them has to end before
	// the idle traffic is measured.
	warmUpPerInstance      = 100 * time.Millisecond
	signatureOverheadBytes = 18  // bytes of a signed datagram besides its body: 2 of marker and kind, 16 of MAC
	configFetchBytes       = 600 // bytes of the request and the response that fetch a configuration change
	configCheckInterval    = 250 * time.Millisecond
	gossipLossRate         = 0.001 // share of datagrams that are lost

	// In deployments of up to this number of instances, an instance sends a new version to
	// all others directly. In larger ones it sends the version to the voters, which are the
	// first three instances here.
	maxSmallDeployment = 16
)

// gossipNode is a simulated instance.
type gossipNode struct {
	gossiper      *gossiper.Gossiper
	configVersion uint64
	fetchEndsAt   time.Duration // when the configuration fetch in progress ends; 0 without one
	incarnation   uint64
	crashed       bool
}

// datagram is a datagram in transit.
type datagram struct {
	arrivesAt     time.Duration
	receiver      int
	senderAddress string
	message       gossiper.Message
}

// gossipSim simulates the membership protocol in time steps of gossipTickInterval.
type gossipSim struct {
	nodes         []*gossipNode
	nodeByAddress map[string]int
	random        *rand.Rand
	now           time.Duration
	inFlight      []datagram
	sentBytes     float64
	sentMessages  int
	cborMode      cbor.EncMode
	// advanceFetch advances the fetching of an instance. It is fetchNewerConfig unless a scenario
	// replaces it.
	advanceFetch       func(i int)
	versionReportBytes float64 // of datagrams that only report a configuration version
}

func peerAddress(i int) string {
	return fmt.Sprintf("10.%d.%d.1:6082", i/250, i%250)
}

func newGossipSim(seed uint64, instances int) (*gossipSim, error) {
	cborMode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, err
	}
	s := &gossipSim{nodeByAddress: make(map[string]int), random: rand.New(rand.NewPCG(seed, 0x676f73)), cborMode: cborMode}
	s.advanceFetch = func(i int) { s.fetchNewerConfig(s.nodes[i]) }
	for i := range instances {
		s.nodeByAddress[peerAddress(i)] = i
		s.nodes = append(s.nodes, &gossipNode{incarnation: 1})
		s.startNode(i)
	}
	return s, nil
}

// startNode starts an instance with a new incarnation.
func (s *gossipSim) startNode(i int) {
	node := s.nodes[i]
	node.crashed = false
	node.incarnation++
	self := gossiper.Instance{
		Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%6), FabricGroup: fmt.Sprintf("g%d", i/11),
		PeerAddress: peerAddress(i), RPCAddress: peerAddress(i), RequestAddress: peerAddress(i), OperatorAddress: peerAddress(i), Serving: true, ConfigVersion: node.configVersion,
	}
	node.gossiper = gossiper.New(self, node.incarnation, gossiper.WithSeeds(peerAddress(0), peerAddress(1), peerAddress(2)),
		gossiper.WithRandom(rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))))
}

// run simulates up to a time. It calls afterTick, if not nil, after each time step.
func (s *gossipSim) run(until time.Duration, afterTick func()) {
	for ; s.now < until; s.now += gossipTickInterval {
		s.deliver()
		for i, node := range s.nodes {
			if !node.crashed {
				s.send(i, node.gossiper.Tick(s.now))
				s.advanceFetch(i)
			}
		}
		if afterTick != nil {
			afterTick()
		}
	}
}

// fetchNewerConfig fetches the configuration from a member that has a newer one, as the
// controller does.
func (s *gossipSim) fetchNewerConfig(node *gossipNode) {
	if node.fetchEndsAt != 0 && s.now >= node.fetchEndsAt {
		node.fetchEndsAt = 0
		if members := node.gossiper.NewestConfigMembers(); len(members) > 0 {
			s.setConfigVersion(node, members[0].ConfigVersion)
		}
	}
	if s.now%configCheckInterval != 0 || node.fetchEndsAt != 0 {
		return
	}
	if len(node.gossiper.NewestConfigMembers()) > 0 {
		node.fetchEndsAt = s.now + gossipTickInterval
		s.sentBytes += configFetchBytes
	}
}

// setConfigVersion sets the version of an instance, and the instances that it sends the
// version to directly.
func (s *gossipSim) setConfigVersion(node *gossipNode, version uint64) {
	node.configVersion = version
	subscribers := []string{"i0", "i1", "i2"}
	for i := len(subscribers); i < len(s.nodes) && len(s.nodes) <= maxSmallDeployment; i++ {
		subscribers = append(subscribers, fmt.Sprintf("i%d", i))
	}
	node.gossiper.SetConfigVersion(version, subscribers)
}

func (s *gossipSim) send(sender int, envelopes []gossiper.Envelope) {
	for _, e := range envelopes {
		receiver, ok := s.nodeByAddress[e.To]
		if !ok {
			continue
		}
		encoded, err := s.cborMode.Marshal(e.Message)
		if err != nil {
			continue
		}
		s.sentBytes += float64(len(encoded) + signatureOverheadBytes)
		s.sentMessages++
		if e.Message.Kind == gossiper.KindConfigVersion {
			s.versionReportBytes += float64(len(encoded) + signatureOverheadBytes)
		}
		if s.random.Float64() < gossipLossRate {
			continue
		}
		s.inFlight = append(s.inFlight, datagram{arrivesAt: s.now + gossipTickInterval, receiver: receiver, senderAddress: peerAddress(sender), message: e.Message})
	}
}

func (s *gossipSim) deliver() {
	due := s.inFlight
	s.inFlight = nil
	for _, d := range due {
		node := s.nodes[d.receiver]
		if node.crashed {
			continue
		}
		s.send(d.receiver, node.gossiper.Handle(s.now, d.senderAddress, d.message))
	}
}

// allKnownToHaveVersion reports whether the first instance knows that all live instances
// have the version.
func (s *gossipSim) allKnownToHaveVersion(version uint64) bool {
	upToDate := 1
	for _, m := range s.nodes[0].gossiper.Members() {
		if m.Alive() && m.ConfigVersion >= version {
			upToDate++
		}
	}
	live := 0
	for _, node := range s.nodes {
		if !node.crashed {
			live++
		}
	}
	return upToDate >= live
}

// countDetections returns how many of the other live instances have declared instance i
// dead, and the number of other live instances.
func (s *gossipSim) countDetections(i int) (int, int) {
	name := fmt.Sprintf("i%d", i)
	detecting, live := 0, 0
	for j, node := range s.nodes {
		if node.crashed || j == i {
			continue
		}
		live++
		if m, ok := node.gossiper.Member(name); ok && !m.Alive() {
			detecting++
		}
	}
	return detecting, live
}

// runGossipScenario measures the idle traffic, then the propagation of a configuration, and
// then the detection of a crashed instance.
func runGossipScenario(settings Settings, c gossipScenario) (Report, error) {
	s, err := newGossipSim(settings.Seed, c.instances)
	if err != nil {
		return Report{}, err
	}
	r := Report{Scenario: c.name, Deployment: "gossip", Policy: settings.Policy, Seed: settings.Seed, BrokenFlowsByCause: map[string]int{}}
	warmUp := gossipWarmUp + time.Duration(c.instances)*warmUpPerInstance
	s.run(warmUp, nil)
	bytesBefore, messagesBefore := s.sentBytes, s.sentMessages
	s.run(warmUp+idleTrafficDuration, nil)
	seconds := idleTrafficDuration.Seconds()
	r.ControlBytesPerSecond = (s.sentBytes - bytesBefore) / float64(c.instances) / seconds
	r.MessagesPerSecond = float64(s.sentMessages-messagesBefore) / float64(c.instances) / seconds
	startedAt := s.now
	s.setConfigVersion(s.nodes[0], 2)
	s.run(startedAt+30*time.Second, func() {
		if r.ConfigPropagationMS == 0 && s.allKnownToHaveVersion(2) {
			r.ConfigPropagationMS = float64((s.now - startedAt).Milliseconds())
		}
	})
	r.BytesPerConfigChange = (s.sentBytes-bytesBefore)/float64(c.instances) - r.ControlBytesPerSecond*(seconds+30)
	startedAt = s.now
	s.nodes[1].crashed = true
	s.run(startedAt+30*time.Second, func() {
		if detecting, live := s.countDetections(1); r.DeathDetectionMS == 0 && detecting == live {
			r.DeathDetectionMS = float64((s.now - startedAt).Milliseconds())
		}
	})
	r.DurationSeconds = s.now.Seconds()
	return r, nil
}
