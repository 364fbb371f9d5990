// Package demonstrator runs a small deployment with traffic in one process: three
// instances, eight simulated targets of two services, and simulated callers. Meanwhile it
// drains a target, and stops an instance and starts it again.
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

// Time limits, load and size of the demonstration.
const (
	stepTimeout        = 15 * time.Second // of an intent, and of each condition to wait for
	stopTimeout        = 10 * time.Second // for an instance to stop, and for flows to close at the end
	flowsPerSecond     = 150
	meanFlowDuration   = 3 * time.Second
	flowThinkTime      = 60 * time.Millisecond
	requestsPerSecond  = 60
	meanProcessingTime = 20 * time.Millisecond
	phaseDuration      = 3 * time.Second // how long traffic runs after a step
	pollInterval       = 5 * time.Millisecond
	instanceCount      = 3
)

// Clock provides the time, tickers, and the time since a fixed moment that includes suspensions of
// the machine. The function that Ticker returns stops the ticker.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
	Uptime() time.Duration
}

// TimeoutError reports a condition that was not met within stepTimeout.
type TimeoutError struct {
	Condition string
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return "timed out waiting until " + e.Condition
}

// RefusedError reports an intent or a confirmation that the control plane refused.
type RefusedError struct {
	Refusal *planner.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "the control plane refused: " + e.Refusal.Error()
}

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error {
	return e.Refusal
}

// demonstration is the state of a running demonstration.
type demonstration struct {
	clock            Clock
	log              *slog.Logger // progress of the demonstration
	instanceLog      *slog.Logger // log of the instances
	folder           string       // for the data of the instances and the keys
	collector        *loader.Collector
	instanceSettings []configurer.Settings
	servers          []*server.Server // nil for a stopped instance
	menuTargets      []*loader.Target
	packTargets      []*loader.Target
	flowGenerator    *loader.FlowGenerator
	operatorConn     *grpc.ClientConn
	cleanups         []func() error // run in reverse order at the end
}

// Run runs the demonstration with its data in folder and returns what the simulated callers
// and targets observed. Progress is logged to log, and the log of the instances goes to
// instanceLog.
func Run(folder string, clock Clock, log, instanceLog *slog.Logger) (loader.Report, error) {
	d := &demonstration{clock: clock, log: log, instanceLog: instanceLog, folder: folder, collector: loader.NewCollector()}
	err := d.run()
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		if closeErr := d.cleanups[i](); err == nil && closeErr != nil {
			err = closeErr
		}
	}
	return d.collector.Report(), err
}

func (d *demonstration) run() error {
	for _, step := range []func() error{d.makeKeys, d.startInstances, d.startTraffic, d.drainTarget, d.stopInstance, d.restartInstance} {
		if err := step(); err != nil {
			return err
		}
		d.logProgress()
	}
	d.flowGenerator.Finish(stopTimeout)
	return nil
}

func (d *demonstration) logProgress() {
	d.log.Info("demo-progress", "report", d.collector.Report().SummaryLine())
}

func (d *demonstration) sleep(duration time.Duration) {
	ticks, stop := d.clock.Ticker(duration)
	defer stop()
	<-ticks
}

func (d *demonstration) keyPath(name string) string {
	return filepath.Join(d.folder, "keys", name)
}

// makeKeys creates the certificate authority and issues the certificates of the instances
// and of an operator.
func (d *demonstration) makeKeys() error {
	keyFolder := d.keyPath("")
	if err := keyer.CreateCA(keyFolder, d.clock.Now()); err != nil {
		return err
	}
	for i := range instanceCount {
		name := instanceName(i)
		if err := keyer.IssueCertificate(keyFolder, name, keyer.RoleInstance, []string{"127.0.0.1"}, d.clock.Now(), keyer.DefaultCertValidity); err != nil {
			return err
		}
	}
	return keyer.IssueCertificate(keyFolder, "operator", keyer.RoleOperator, nil, d.clock.Now(), keyer.DefaultCertValidity)
}

func instanceName(index int) string {
	return "i" + strconv.Itoa(index+1)
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", eris.Wrap(err, "find a free port")
		}
		address := listener.Addr().String()
		packetConn, err := net.ListenPacket("udp", address)
		if closeErr := listener.Close(); closeErr != nil {
			return "", eris.Wrap(closeErr, "find a free port")
		}
		if err != nil {
			continue // the port is in use for UDP
		}
		return address, eris.Wrap(packetConn.Close(), "find a free port")
	}
}

// newSettings returns the settings of an instance with free ports.
func (d *demonstration) newSettings(index int, seeds string) (configurer.Settings, error) {
	name := instanceName(index)
	settings := configurer.Settings{
		Name: name, DataCentre: "dc" + strconv.Itoa(index%2+1), FabricGroup: "all", Seeds: seeds,
		DataFolder: filepath.Join(d.folder, name), Voters: "i1,i2,i3", FirstStart: true,
		CACertFile: d.keyPath(keyer.CACertFile), CertFile: d.keyPath(name + ".crt"), KeyFile: d.keyPath(name + ".key"),
		GroupKeyFile: d.keyPath(keyer.GroupKeyFile), MTU: 9000, ReplicationBudget: 3072, ReplicationWindow: time.Second,
		FlowLimit: 1 << 16, HintLimit: 1 << 16, ReplicaLimit: 1 << 16, Workers: 512, MaxBodySize: 1 << 20,
		BaseLag: 2 * time.Second, HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 500 * time.Millisecond,
		StopTimeout: stopTimeout, LogLevel: "info",
	}
	for _, setting := range []*string{&settings.FlowAddress, &settings.PeerAddress, &settings.RequestAddress, &settings.OperatorAddress, &settings.StatusAddress} {
		address, err := freeAddress()
		if err != nil {
			return settings, err
		}
		*setting = address
	}
	return settings, settings.Validate()
}

// startInstances starts all instances, connects to the first one as an operator, and waits
// until all are ready.
func (d *demonstration) startInstances() error {
	d.servers = make([]*server.Server, instanceCount)
	d.cleanups = append(d.cleanups, d.closeServers)
	seeds := ""
	for i := range instanceCount {
		settings, err := d.newSettings(i, seeds)
		if err != nil {
			return err
		}
		if i == 0 {
			seeds = settings.PeerAddress
		}
		d.instanceSettings = append(d.instanceSettings, settings)
		if d.servers[i], err = server.Start(settings, d.clock, d.instanceLog.With("instance", settings.Name)); err != nil {
			return err
		}
	}
	if err := d.dialOperatorAddress(); err != nil {
		return err
	}
	return d.waitUntil("every instance is ready", func() bool {
		for _, srv := range d.servers {
			if srv != nil && !srv.Ready() {
				return false
			}
		}
		return true
	})
}

func (d *demonstration) closeServers() error {
	for _, srv := range d.servers {
		if srv == nil {
			continue
		}
		if err := srv.Close(); err != nil {
			return err
		}
	}
	return nil
}

// dialOperatorAddress connects to the first instance as an operator.
func (d *demonstration) dialOperatorAddress() error {
	tlsConfig, err := keyer.LoadTLSConfig(keyer.KeyFiles{
		CACert: d.keyPath(keyer.CACertFile), Cert: d.keyPath("operator.crt"), Key: d.keyPath("operator.key"),
	}, d.clock)
	if err != nil {
		return err
	}
	d.operatorConn, err = grpc.NewClient(d.instanceSettings[0].OperatorAddress, grpc.WithTransportCredentials(transportCredentials(tlsConfig)))
	if err != nil {
		return eris.Wrap(err, "dial operator address")
	}
	d.cleanups = append(d.cleanups, d.operatorConn.Close)
	return nil
}

func transportCredentials(config *tls.Config) credentials.TransportCredentials {
	return credentials.NewTLS(config)
}

// waitUntil polls the condition until it holds. It returns a *TimeoutError after
// stepTimeout.
func (d *demonstration) waitUntil(description string, condition func() bool) error {
	ticks, stop := d.clock.Ticker(pollInterval)
	defer stop()
	deadline := d.clock.Now().Add(stepTimeout)
	for !condition() {
		if d.clock.Now().After(deadline) {
			return &TimeoutError{Condition: description}
		}
		<-ticks
	}
	return nil
}

// applyIntent states an intent, confirms the plan, waits until it is in force on all
// instances, and records how long that took after the confirmation.
func (d *demonstration) applyIntent(intent planner.Intent) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	client := messenger.OperatorClient{Conn: d.operatorConn}
	stated, err := client.State(ctx, &intent)
	if err != nil {
		return eris.Wrap(err, "state intent")
	}
	if stated.Refusal != nil {
		return &RefusedError{Refusal: stated.Refusal}
	}
	for _, step := range stated.Plan.Steps {
		d.log.Info("demo-plan", "plan", stated.Plan.ID, "sign", step.Sign, "object", step.Object, "before", step.Before, "after", step.After)
	}
	confirmedAt := d.clock.Now()
	confirmed, err := client.Confirm(ctx, &messenger.PlanRequest{PlanID: stated.Plan.ID})
	if err != nil {
		return eris.Wrap(err, "confirm plan")
	}
	if confirmed.Refusal != nil {
		return &RefusedError{Refusal: confirmed.Refusal}
	}
	version := confirmed.Plan.ConfirmedVersion
	err = d.waitUntil("the plan is in force everywhere", func() bool {
		status, err := client.Status(ctx)
		return err == nil && status.ConfigInForce && status.ConfigVersion >= version
	})
	if err == nil {
		d.collector.RecordTimeUntilInForce(d.clock.Now().Sub(confirmedAt))
	}
	return err
}

// serviceIntents returns the intents that add the two services.
func serviceIntents() []planner.Intent {
	addService := func(name, hostName, job, ip string) planner.Intent {
		return planner.Intent{ID: "add-" + name, Action: planner.AddService, Service: &planner.Service{
			Name: name, Names: []string{hostName}, Jobs: []string{job}, Tenant: "demo", Class: name,
			Addresses: []planner.Address{{IP: netip.MustParseAddr(ip), Port: 443, Protocol: planner.TCP}},
		}}
	}
	return []planner.Intent{
		addService("menus", "kitchendept-menus.demo", "kitchendept-menus", "192.0.2.10"),
		addService("packs", "kitchendept-packs.demo", "kitchendept-packs", "2001:db8::10"),
	}
}
