package loader

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// RunSettings are the settings of one run against a running deployment.
type RunSettings struct {
	Instances          []InstanceAddresses
	HostName           string // of the service, in requests
	Job                string // that the targets announce
	ServiceAddress     netip.AddrPort
	TargetCount        int
	SlotsPerTarget     int
	MeanProcessingTime time.Duration
	FlowsPerSecond     float64
	MeanFlowDuration   time.Duration
	FlowThinkTime      time.Duration // see FlowGeneratorSettings.ThinkTime
	RequestsPerSecond  float64
	ResendShare        float64       // see RequestGeneratorSettings.ResendShare
	Duration           time.Duration // until no new flows and requests are started
}

// Intervals and time limits of a run.
const (
	progressInterval    = 5 * time.Second
	finishTimeout       = 30 * time.Second // for flows to close at the end
	targetDiscoveryTime = 4 * time.Second  // until all instances know the targets
)

// Run generates load on a running deployment and returns the results.
func Run(settings RunSettings, clock Clock, log *slog.Logger) (Report, error) {
	collector := NewCollector()
	callerSocket, err := ListenForReplies()
	if err != nil {
		return Report{}, err
	}
	targets, err := startTargets(settings, callerSocket, clock, collector)
	if err != nil {
		return Report{}, errors.Join(err, callerSocket.Close())
	}
	waitWithProgress(clock, targetDiscoveryTime, nil)
	flowGenerator := NewFlowGenerator(FlowGeneratorSettings{
		ServiceAddresses: []netip.AddrPort{settings.ServiceAddress}, FlowsPerSecond: settings.FlowsPerSecond, MeanFlowDuration: settings.MeanFlowDuration, ThinkTime: settings.FlowThinkTime,
	}, clock, collector, callerSocket)
	fabric, err := StartFabric(settings.Instances, clock, flowGenerator.Deliver)
	if err != nil {
		return Report{}, errors.Join(err, callerSocket.Close())
	}
	flowGenerator.Start(fabric)
	requestGenerator := StartRequestGenerator(RequestGeneratorSettings{HostNames: []string{settings.HostName}, RequestsPerSecond: settings.RequestsPerSecond, ResendShare: settings.ResendShare}, clock, collector, fabric)
	done := make(chan struct{})
	go SampleImbalance(clock, collector, func() [][]*Target { return [][]*Target{targets} }, done)
	waitWithProgress(clock, settings.Duration, func() { log.Info("load-progress", "report", collector.Report().SummaryLine()) })
	err = requestGenerator.Close()
	flowGenerator.Finish(finishTimeout)
	close(done)
	err = errors.Join(err, fabric.Close(), flowGenerator.Close())
	for _, t := range targets {
		err = errors.Join(err, t.Close())
	}
	return collector.Report(), err
}

func startTargets(settings RunSettings, callerSocket *net.UDPConn, clock Clock, collector *Collector) ([]*Target, error) {
	var targets []*Target
	statusAddresses := make([]string, 0, len(settings.Instances))
	for _, instance := range settings.Instances {
		statusAddresses = append(statusAddresses, instance.StatusAddress)
	}
	for range settings.TargetCount {
		t, err := StartTarget(TargetSettings{
			Job: settings.Job, HostName: settings.HostName, ServiceAddresses: []string{settings.ServiceAddress.String()}, DataCentre: "dc1", Slots: settings.SlotsPerTarget,
			MeanProcessingTime: settings.MeanProcessingTime, CallerAddress: callerSocket.LocalAddr().(*net.UDPAddr).AddrPort(), StatusAddresses: statusAddresses,
		}, clock, collector)
		if err != nil {
			return targets, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}

// waitWithProgress waits for the duration and calls progress, unless nil, at intervals.
func waitWithProgress(clock Clock, duration time.Duration, progress func()) {
	ticks, stop := clock.Ticker(min(duration, progressInterval))
	defer stop()
	for deadline := clock.Now().Add(duration); clock.Now().Before(deadline); {
		<-ticks
		if progress != nil {
			progress()
		}
	}
}

// PlotImbalance writes a plot of the imbalance over time to a file. The extension of the
// file selects the format.
func PlotImbalance(file string, r Report) error {
	p := plot.New()
	p.Title.Text = "imbalance of open flows, largest over mean"
	points := make(plotter.XYs, 0, len(r.ImbalanceSamples))
	for i, imbalance := range r.ImbalanceSamples {
		points = append(points, plotter.XY{X: float64(i) * imbalanceSampleInterval.Seconds(), Y: imbalance})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return eris.Wrap(err, "draw line")
	}
	p.Add(line)
	return eris.Wrap(p.Save(20*vg.Centimeter, 10*vg.Centimeter, file), "save plot")
}
