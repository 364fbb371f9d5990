package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondpick/gossiper"
)

// spreadScenario is a number of instances that gossip, and a configuration that
// comes into force on them.
type spreadScenario struct {
	name  string
	nodes int
}

func spreadScenarios() []spreadScenario {
	return []spreadScenario{
		{"in-force-7", 7}, {"in-force-60", 60}, {"in-force-165", 165}, {"in-force-330", 330}, {"in-force-660", 660},
	}
}

// Sizes and times of the spreading of a configuration.
const (
	spreadTick   = 20 * time.Millisecond
	spreadWarm   = 20 * time.Second
	spreadLength = 40 * time.Second
	// All instances start at once here, and the news of that has to die down first.
	spreadWarmNode = 100 * time.Millisecond
	sealBytes      = 18  // of a datagram beside its body
	changeBytes    = 600 // of a fetched change, with its question
	choreEvery     = 250 * time.Millisecond
	spreadLoss     = 0.001

	smallDeployment = 16 // instances, in which everybody is told of a version at once
)

// spreadNode is one instance.
type spreadNode struct {
	gossip  *gossiper.Gossiper
	version uint64
	fetch   time.Duration // when a fetch that is under way ends
	life    uint64
	dead    bool
}

// letter is a datagram on its way.
type letter struct {
	at      time.Duration
	to      int
	from    string
	message gossiper.Message
}

// spreadSim plays gossip among many instances.
type spreadSim struct {
	nodes    []*spreadNode
	byPeer   map[string]int
	random   *rand.Rand
	now      time.Duration
	letters  []letter
	bytes    float64
	messages int
	mode     cbor.EncMode
}

func peerAddress(i int) string {
	return fmt.Sprintf("10.%d.%d.1:6082", i/250, i%250)
}

func newSpreadSim(seed uint64, n int) (*spreadSim, error) {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, err
	}
	s := &spreadSim{byPeer: make(map[string]int), random: rand.New(rand.NewPCG(seed, 0x676f73)), mode: mode}
	for i := range n {
		s.byPeer[peerAddress(i)] = i
		s.nodes = append(s.nodes, &spreadNode{life: 1})
		s.boot(i)
	}
	return s, nil
}

// boot starts an instance anew.
func (s *spreadSim) boot(i int) {
	one := s.nodes[i]
	one.dead = false
	one.life++
	self := gossiper.Instance{
		Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%6), FabricGroup: fmt.Sprintf("g%d", i/11),
		PeerAddress: peerAddress(i), RPCAddress: peerAddress(i), RequestAddress: peerAddress(i), OperatorAddress: peerAddress(i), Serving: true, ConfigVersion: one.version,
	}
	one.gossip = gossiper.New(self, one.life, gossiper.WithSeeds(peerAddress(0), peerAddress(1), peerAddress(2)),
		gossiper.WithRandom(rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))))
}

func (s *spreadSim) run(until time.Duration, each func()) {
	for ; s.now < until; s.now += spreadTick {
		s.deliver()
		for i, one := range s.nodes {
			if !one.dead {
				s.send(i, one.gossip.Tick(s.now))
				s.chores(one)
			}
		}
		if each != nil {
			each()
		}
	}
}

// chores fetches a newer configuration that some member has, as the controller does.
func (s *spreadSim) chores(one *spreadNode) {
	if one.fetch != 0 && s.now >= one.fetch {
		one.fetch = 0
		if m, ok := one.gossip.NewestConfigMember(); ok {
			s.setVersion(one, m.ConfigVersion)
		}
	}
	if s.now%choreEvery != 0 || one.fetch != 0 {
		return
	}
	if _, ok := one.gossip.NewestConfigMember(); ok {
		one.fetch = s.now + spreadTick
		s.bytes += changeBytes
	}
}

func (s *spreadSim) setVersion(one *spreadNode, v uint64) {
	one.version = v
	watchers := []string{"i0", "i1", "i2"}
	for i := len(watchers); i < len(s.nodes) && len(s.nodes) <= smallDeployment; i++ {
		watchers = append(watchers, fmt.Sprintf("i%d", i))
	}
	one.gossip.SetConfigVersion(v, watchers)
}

func (s *spreadSim) send(from int, list []gossiper.Envelope) {
	for _, e := range list {
		to, ok := s.byPeer[e.To]
		if !ok {
			continue
		}
		b, err := s.mode.Marshal(e.Message)
		if err != nil {
			continue
		}
		s.bytes += float64(len(b) + sealBytes)
		s.messages++
		if s.random.Float64() < spreadLoss {
			continue
		}
		s.letters = append(s.letters, letter{at: s.now + spreadTick, to: to, from: peerAddress(from), message: e.Message})
	}
}

func (s *spreadSim) deliver() {
	due := s.letters
	s.letters = nil
	for _, l := range due {
		one := s.nodes[l.to]
		if one.dead {
			continue
		}
		s.send(l.to, one.gossip.Handle(s.now, l.from, l.message))
	}
}

// knownEverywhere tells whether the first instance knows all live ones to have the
// version.
func (s *spreadSim) knownEverywhere(v uint64) bool {
	n := 1
	for _, m := range s.nodes[0].gossip.Members() {
		if m.Alive() && m.ConfigVersion >= v {
			n++
		}
	}
	alive := 0
	for _, one := range s.nodes {
		if !one.dead {
			alive++
		}
	}
	return n >= alive
}

// detected tells how many of the live instances believe an instance dead.
func (s *spreadSim) detected(i int) (int, int) {
	name := fmt.Sprintf("i%d", i)
	seen, alive := 0, 0
	for j, one := range s.nodes {
		if one.dead || j == i {
			continue
		}
		alive++
		if m, ok := one.gossip.Member(name); ok && !m.Alive() {
			seen++
		}
	}
	return seen, alive
}

// runSpread plays gossip at one size: idle traffic, a configuration that comes into
// force, and the death of an instance.
func runSpread(set Settings, c spreadScenario) (Report, error) {
	s, err := newSpreadSim(set.Seed, c.nodes)
	if err != nil {
		return Report{}, err
	}
	r := Report{Scenario: c.name, Deployment: "gossip", Policy: set.Policy, Seed: set.Seed, BrokenFlowsByCause: map[string]int{}}
	warm := spreadWarm + time.Duration(c.nodes)*spreadWarmNode
	s.run(warm, nil)
	before, count := s.bytes, s.messages
	s.run(warm+spreadLength, nil)
	seconds := spreadLength.Seconds()
	r.ControlBytesPerSecond = (s.bytes - before) / float64(c.nodes) / seconds
	r.MessagesPerSecond = float64(s.messages-count) / float64(c.nodes) / seconds
	begun := s.now
	s.setVersion(s.nodes[0], 2)
	s.run(begun+30*time.Second, func() {
		if r.ConfigPropagationMS == 0 && s.knownEverywhere(2) {
			r.ConfigPropagationMS = float64((s.now - begun).Milliseconds())
		}
	})
	r.BytesPerConfigChange = (s.bytes-before)/float64(c.nodes) - r.ControlBytesPerSecond*(seconds+30)
	begun = s.now
	s.nodes[1].dead = true
	s.run(begun+30*time.Second, func() {
		if seen, alive := s.detected(1); r.DeathDetectionMS == 0 && seen == alive {
			r.DeathDetectionMS = float64((s.now - begun).Milliseconds())
		}
	})
	r.DurationSeconds = s.now.Seconds()
	return r, nil
}
