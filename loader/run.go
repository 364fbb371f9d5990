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

// RunSettings describe one load on a running deployment.
type RunSettings struct {
	Instances          []InstanceAddresses
	HostName           string
	Job                string
	ServiceAddress     netip.AddrPort
	TargetCount        int
	SlotsPerTarget     int
	MeanProcessingTime time.Duration
	FlowsPerSecond     float64
	MeanFlowDuration   time.Duration
	FlowThinkTime      time.Duration
	RequestsPerSecond  float64
	ResendShare        float64
	Duration           time.Duration
}

const (
	progressEvery = 5 * time.Second
	finishTime    = 30 * time.Second
	settleTime    = 4 * time.Second // until the targets are known everywhere
)

// Run puts load on a running deployment and returns what the stand-ins saw.
func Run(set RunSettings, clock Clock, log *slog.Logger) (Report, error) {
	ledger := NewCollector()
	callers, err := ListenForReplies()
	if err != nil {
		return Report{}, err
	}
	targets, err := startTargets(set, callers, clock, ledger)
	if err != nil {
		return Report{}, errors.Join(err, callers.Close())
	}
	wait(clock, settleTime, nil)
	flows := NewFlowGenerator(FlowGeneratorSettings{
		ServiceAddresses: []netip.AddrPort{set.ServiceAddress}, FlowsPerSecond: set.FlowsPerSecond, MeanFlowDuration: set.MeanFlowDuration, ThinkTime: set.FlowThinkTime,
	}, clock, ledger, callers)
	fabric, err := StartFabric(set.Instances, clock, flows.Deliver)
	if err != nil {
		return Report{}, errors.Join(err, callers.Close())
	}
	flows.Start(fabric)
	requests := StartRequestGenerator(RequestGeneratorSettings{HostNames: []string{set.HostName}, RequestsPerSecond: set.RequestsPerSecond, ResendShare: set.ResendShare}, clock, ledger, fabric)
	done := make(chan struct{})
	go SampleImbalance(clock, ledger, func() [][]*Target { return [][]*Target{targets} }, done)
	wait(clock, set.Duration, func() { log.Info("load-progress", "report", ledger.Report().SummaryLine()) })
	err = requests.Close()
	flows.Finish(finishTime)
	close(done)
	err = errors.Join(err, fabric.Close(), flows.Close())
	for _, t := range targets {
		err = errors.Join(err, t.Close())
	}
	return ledger.Report(), err
}

func startTargets(set RunSettings, callers *net.UDPConn, clock Clock, ledger *Collector) ([]*Target, error) {
	var targets []*Target
	status := make([]string, 0, len(set.Instances))
	for _, e := range set.Instances {
		status = append(status, e.StatusAddress)
	}
	for range set.TargetCount {
		t, err := StartTarget(TargetSettings{
			Job: set.Job, HostName: set.HostName, ServiceAddresses: []string{set.ServiceAddress.String()}, DataCentre: "dc1", Slots: set.SlotsPerTarget,
			MeanProcessingTime: set.MeanProcessingTime, CallerAddress: callers.LocalAddr().(*net.UDPAddr).AddrPort(), StatusAddresses: status,
		}, clock, ledger)
		if err != nil {
			return targets, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}

// wait lets time pass and calls progress now and then.
func wait(clock Clock, d time.Duration, progress func()) {
	ticks, stop := clock.Ticker(min(d, progressEvery))
	defer stop()
	for end := clock.Now().Add(d); clock.Now().Before(end); {
		<-ticks
		if progress != nil {
			progress()
		}
	}
}

// Plot draws the imbalance over time into a file.
func PlotImbalance(file string, r Report) error {
	p := plot.New()
	p.Title.Text = "imbalance of open flows, largest over mean"
	points := make(plotter.XYs, 0, len(r.ImbalanceSamples))
	for i, b := range r.ImbalanceSamples {
		points = append(points, plotter.XY{X: float64(i) * balanceEvery.Seconds(), Y: b})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return eris.Wrap(err, "draw line")
	}
	p.Add(line)
	return eris.Wrap(p.Save(20*vg.Centimeter, 10*vg.Centimeter, file), "save plot")
}
