// Package demonstrator runs a small deployment with traffic in one process: three
// instances, eight targets of two services, and callers, while a target is drained
// and an instance stops and comes back.
package demonstrator

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"almondpick/configurer"
	"almondpick/keyer"
	"almondpick/loader"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/server"
)

// Times of the demonstration.
const (
	startTimeout = 15 * time.Second
	stopTimeout  = 10 * time.Second
	flowRate     = 150 // a second
	flowLength   = 3 * time.Second
	flowPause    = 60 * time.Millisecond
	requestRate  = 60 // a second
	workTime     = 20 * time.Millisecond
	phase        = 3 * time.Second
	pollEvery    = 5 * time.Millisecond
	instances    = 3
)

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// TimeoutError reports a step that did not come about in time.
type TimeoutError struct {
	Step string
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return "the demonstration waited too long for: " + e.Step
}

// RefusedError reports an intent or confirmation that was refused.
type RefusedError struct {
	Refusal *planner.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "the demonstration was refused: " + e.Refusal.Error()
}

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error {
	return e.Refusal
}

// stage is everything that the demonstration has running.
type stage struct {
	clock   Clock
	log     *slog.Logger
	quiet   *slog.Logger
	folder  string
	ledger  *loader.Collector
	sets    []configurer.Settings
	servers []*server.Server
	menus   []*loader.Target
	packs   []*loader.Target
	flows   *loader.FlowGenerator
	conn    *grpc.ClientConn
	cleanup []func() error
}

// Run runs the demonstration with its data in folder and returns what the stand-ins
// saw. log gets the progress, quiet what the instances log.
func Run(folder string, clock Clock, log, quiet *slog.Logger) (loader.Report, error) {
	s := &stage{clock: clock, log: log, quiet: quiet, folder: folder, ledger: loader.NewCollector()}
	err := s.run()
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		if closeErr := s.cleanup[i](); err == nil && closeErr != nil {
			err = closeErr
		}
	}
	return s.ledger.Report(), err
}

func (s *stage) run() error {
	for _, step := range []func() error{s.makeKeys, s.startInstances, s.startTraffic, s.drainTarget, s.stopInstance, s.restartInstance} {
		if err := step(); err != nil {
			return err
		}
		s.progress()
	}
	s.flows.Finish(stopTimeout)
	return nil
}

func (s *stage) progress() {
	s.log.Info("demo-progress", "report", s.ledger.Report().SummaryLine())
}

func (s *stage) pause(d time.Duration) {
	ticks, stop := s.clock.Ticker(d)
	defer stop()
	<-ticks
}

func (s *stage) keys(name string) string {
	return filepath.Join(s.folder, "keys", name)
}

func (s *stage) makeKeys() error {
	folder := s.keys("")
	if err := keyer.Init(folder, s.clock.Now()); err != nil {
		return err
	}
	for i := range instances {
		name := instanceName(i)
		if err := keyer.Issue(folder, name, keyer.RoleInstance, []string{"127.0.0.1"}, s.clock.Now(), keyer.DefaultLife); err != nil {
			return err
		}
	}
	return keyer.Issue(folder, "operator", keyer.RoleOperator, nil, s.clock.Now(), keyer.DefaultLife)
}

func instanceName(i int) string {
	return "i" + strconv.Itoa(i+1)
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", eris.Wrap(err, "find a free port")
		}
		at := l.Addr().String()
		u, err := net.ListenPacket("udp", at)
		if closeErr := l.Close(); closeErr != nil {
			return "", eris.Wrap(closeErr, "find a free port")
		}
		if err != nil {
			continue // taken for UDP
		}
		return at, eris.Wrap(u.Close(), "find a free port")
	}
}

func (s *stage) settings(i int, seeds string) (configurer.Settings, error) {
	name := instanceName(i)
	set := configurer.Settings{
		Name: name, DataCentre: "dc" + strconv.Itoa(i%2+1), FabricGroup: "all", Seeds: seeds,
		DataFolder: filepath.Join(s.folder, name), Voters: "i1,i2,i3", FirstStart: true,
		Authority: s.keys(keyer.AuthorityFile), Certificate: s.keys(name + ".crt"), Key: s.keys(name + ".key"),
		GroupKey: s.keys(keyer.GroupKeyFile), MTU: 9000, ReplicationBudget: 3072, Window: time.Second,
		FlowLimit: 1 << 16, HintLimit: 1 << 16, ReplicaLimit: 1 << 16, Workers: 512, MaxBody: 1 << 20,
		BaseLag: 2 * time.Second, Heartbeat: 100 * time.Millisecond, Election: 500 * time.Millisecond,
		StopTimeout: stopTimeout, LogLevel: "info",
	}
	for _, to := range []*string{&set.FlowAddress, &set.PeerAddress, &set.RequestAddress, &set.OperatorAddress, &set.StatusAddress} {
		at, err := freeAddress()
		if err != nil {
			return set, err
		}
		*to = at
	}
	return set, set.Validate()
}

func (s *stage) startInstances() error {
	s.servers = make([]*server.Server, instances)
	s.cleanup = append(s.cleanup, s.closeServers)
	seeds := ""
	for i := range instances {
		set, err := s.settings(i, seeds)
		if err != nil {
			return err
		}
		if i == 0 {
			seeds = set.PeerAddress
		}
		s.sets = append(s.sets, set)
		if s.servers[i], err = server.Start(set, s.clock, s.quiet.With("instance", set.Name)); err != nil {
			return err
		}
	}
	if err := s.dial(); err != nil {
		return err
	}
	return s.await("every instance is ready", func() bool {
		for _, one := range s.servers {
			if one != nil && !one.Ready() {
				return false
			}
		}
		return true
	})
}

func (s *stage) closeServers() error {
	for _, one := range s.servers {
		if one == nil {
			continue
		}
		if err := one.Close(); err != nil {
			return err
		}
	}
	return nil
}

// dial connects to the operator door of the first instance as an operator.
func (s *stage) dial() error {
	secure, err := keyer.Load(keyer.Files{
		Authority: s.keys(keyer.AuthorityFile), Cert: s.keys("operator.crt"), Key: s.keys("operator.key"),
	}, s.clock)
	if err != nil {
		return err
	}
	s.conn, err = grpc.NewClient(s.sets[0].OperatorAddress, grpc.WithTransportCredentials(transportOf(secure)))
	if err != nil {
		return eris.Wrap(err, "dial operator door")
	}
	s.cleanup = append(s.cleanup, s.conn.Close)
	return nil
}

func transportOf(c *tls.Config) credentials.TransportCredentials {
	return credentials.NewTLS(c)
}

func (s *stage) await(step string, ok func() bool) error {
	ticks, stop := s.clock.Ticker(pollEvery)
	defer stop()
	limit := s.clock.Now().Add(startTimeout)
	for !ok() {
		if s.clock.Now().After(limit) {
			return &TimeoutError{Step: step}
		}
		<-ticks
	}
	return nil
}

// carryOut states an intent, confirms the plan, and waits until it is in force.
func (s *stage) carryOut(i planner.Intent) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	client := messenger.OperatorClient{Conn: s.conn}
	stated, err := client.State(ctx, &i)
	if err != nil {
		return eris.Wrap(err, "state intent")
	}
	if stated.Refusal != nil {
		return &RefusedError{Refusal: stated.Refusal}
	}
	for _, step := range stated.Plan.Steps {
		s.log.Info("demo-plan", "plan", stated.Plan.ID, "sign", step.Sign, "object", step.Object, "before", step.Before, "after", step.After)
	}
	begun := s.clock.Now()
	confirmed, err := client.Confirm(ctx, &messenger.PlanRequest{Plan: stated.Plan.ID})
	if err != nil {
		return eris.Wrap(err, "confirm plan")
	}
	if confirmed.Refusal != nil {
		return &RefusedError{Refusal: confirmed.Refusal}
	}
	version := confirmed.Plan.ConfirmedVersion
	err = s.await("a version is in force everywhere", func() bool {
		status, err := client.Status(ctx)
		return err == nil && status.InForce && status.Version >= version
	})
	if err == nil {
		s.ledger.RecordTimeUntilInForce(s.clock.Now().Sub(begun))
	}
	return err
}

// services returns the intents that make the two services.
func services() []planner.Intent {
	service := func(name, legacy, job, ip string) planner.Intent {
		return planner.Intent{ID: "add-" + name, Action: planner.AddService, Service: &planner.Service{
			Name: name, Names: []string{legacy}, Jobs: []string{job}, Tenant: "demo", Class: name,
			Addresses: []planner.Address{{IP: netip.MustParseAddr(ip), Port: 443, Protocol: planner.TCP}},
		}}
	}
	return []planner.Intent{
		service("menus", "kitchendept-menus.demo", "kitchendept-menus", "192.0.2.10"),
		service("packs", "kitchendept-packs.demo", "kitchendept-packs", "2001:db8::10"),
	}
}
