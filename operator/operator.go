// Package operator implements the gRPC API of an instance for operators, and the HTTP
// endpoints for announcements of targets, metrics, health probes and profiles.
package operator

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/pprof"
	"slices"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/messenger"
	"almondpick/planner"
)

const maxAnnouncementSize = 4 << 10 // bytes

// ControlPlane is the part of the controller that a Service needs.
type ControlPlane interface {
	Submit(ctx context.Context, c planner.Command) (planner.Result, error)
	Plan(ctx context.Context, id string) (planner.Result, error)
	Status(ctx context.Context) (*messenger.DeploymentStatus, error)
	History(ctx context.Context) ([]planner.Plan, error)
	ClusterState(ctx context.Context) (controller.ClusterState, error)
	Announce(ctx context.Context, a announcer.Announcement) error
	SetEvacuation(ctx context.Context, dataCentre string, evacuated bool) error
}

// Service implements messenger.OperatorServer and the HTTP endpoints.
type Service struct {
	controller ControlPlane
	log        *slog.Logger
}

// New returns a Service that reads and changes the state of c.
func New(c ControlPlane, log *slog.Logger) *Service {
	return &Service{controller: c, log: log}
}

// State submits an intent and returns the plan for it, or a refusal.
func (s *Service) State(ctx context.Context, intent *planner.Intent) (*planner.Result, error) {
	result, err := s.controller.Submit(ctx, planner.Command{StateIntent: &planner.StateIntent{Intent: *intent}})
	if err != nil {
		return nil, err
	}
	s.log.Info("intent-submitted", "intent", intent.ID, "action", intent.Action, "answer", summarizeResult(result))
	return &result, nil
}

// Confirm puts a plan into force and returns the plan, or a refusal.
func (s *Service) Confirm(ctx context.Context, r *messenger.PlanRequest) (*planner.Result, error) {
	result, err := s.controller.Submit(ctx, planner.Command{ConfirmPlan: &planner.ConfirmPlan{PlanID: r.PlanID}})
	if err != nil {
		return nil, err
	}
	s.log.Info("plan-confirm-submitted", "plan", r.PlanID, "answer", summarizeResult(result))
	return &result, nil
}

// Evacuate evacuates a data centre, or withdraws that, and returns an empty result or a refusal. An
// order that could not be based on the newest state is refused as one without a leader: nothing
// was done.
func (s *Service) Evacuate(ctx context.Context, r *messenger.EvacuationRequest) (*planner.Result, error) {
	err := s.controller.SetEvacuation(ctx, r.DataCentre, r.Evacuated)
	s.log.Info("evacuation-submitted", "data-centre", r.DataCentre, "evacuated", r.Evacuated, "error", err)
	result := &planner.Result{}
	var unread *controller.UnconfirmedReadError
	var unknownTargets *controller.NotCaughtUpError
	switch {
	case errors.As(err, &result.Refusal):
		return result, nil
	case errors.As(err, &unread), errors.As(err, &unknownTargets):
		result.Refusal = &planner.Refusal{Code: planner.CodeNoLeader}
		return result, nil
	}
	return result, err
}

// summarizeResult returns the code of the refusal or the ID of the plan, for the log.
func summarizeResult(result planner.Result) string {
	if result.Refusal != nil {
		return string(result.Refusal.Code)
	}
	if result.Plan != nil {
		return "plan " + result.Plan.ID
	}
	return "none"
}

// Plan returns the plan with the given ID, or a refusal.
func (s *Service) Plan(ctx context.Context, r *messenger.PlanRequest) (*planner.Result, error) {
	result, err := s.controller.Plan(ctx, r.PlanID)
	return &result, err
}

// Status returns the state of the deployment and its instances.
func (s *Service) Status(ctx context.Context, _ *messenger.Empty) (*messenger.DeploymentStatus, error) {
	return s.controller.Status(ctx)
}

// History returns the confirmed plans.
func (s *Service) History(ctx context.Context, _ *messenger.Empty) (*messenger.PlanList, error) {
	plans, err := s.controller.History(ctx)
	return &messenger.PlanList{Plans: plans}, err
}

// Services returns the configured services, sorted by name.
func (s *Service) Services(ctx context.Context, _ *messenger.Empty) (*messenger.ServiceList, error) {
	cluster, err := s.controller.ClusterState(ctx)
	if err != nil {
		return nil, err
	}
	list := &messenger.ServiceList{ConfigVersion: cluster.Config.Version}
	for _, name := range slices.Sorted(maps.Keys(cluster.Config.Services)) {
		list.Services = append(list.Services, cluster.Config.Services[name])
	}
	return list, nil
}

// Targets returns the known targets with their state, which is "lost" for a target that is
// not heard.
func (s *Service) Targets(ctx context.Context, _ *messenger.Empty) (*messenger.TargetList, error) {
	cluster, err := s.controller.ClusterState(ctx)
	if err != nil {
		return nil, err
	}
	list := &messenger.TargetList{}
	for _, t := range cluster.Targets {
		drained, evacuated := cluster.Config.DrainedTargets[t.Name()], cluster.Config.Evacuated(t.DataCentre)
		state := t.State.String()
		if t.Unreachable {
			state = "lost"
		}
		list.Targets = append(list.Targets, messenger.TargetStatus{
			Endpoint: t.Name(), Job: t.Job, DataCentre: t.DataCentre, State: state, Drained: drained, Evacuated: evacuated,
			AcceptsNewWork: t.AcceptsNewWork(cluster.TakenAt) && !drained && !evacuated, Slots: t.Slots, Connections: t.Connections, Load: t.Load, MonitorInstance: t.MonitorInstance,
		})
	}
	return list, nil
}

// ReadinessReporter reports whether the instance takes traffic.
type ReadinessReporter interface {
	Ready() bool
}

// Handler returns the handler of the HTTP endpoints. The pprof endpoints are included only
// if withPprof is true.
func (s *Service) Handler(readiness ReadinessReporter, metrics prometheus.Gatherer, withPprof bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", s.announce)
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !readiness.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	if withPprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// announce handles an announcement of a target. An accepted announcement is answered with
// status 204, an invalid one with status 400 and the *announcer.FieldError as JSON, and any
// other failure with status 503.
func (s *Service) announce(w http.ResponseWriter, r *http.Request) {
	var announcement announcer.Announcement
	body := io.LimitReader(r.Body, maxAnnouncementSize)
	err := json.UnmarshalRead(body, &announcement, json.RejectUnknownMembers(true), jsonv1.FormatDurationAsNano(true))
	if err != nil {
		var fieldError *announcer.FieldError
		if !errors.As(err, &fieldError) {
			err = &announcer.FieldError{Field: "body", Value: err.Error(), Allowed: "an announcement in JSON"}
		}
	} else {
		err = s.controller.Announce(r.Context(), announcement)
	}
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	status := http.StatusServiceUnavailable
	var fieldError *announcer.FieldError
	if errors.As(err, &fieldError) {
		status = http.StatusBadRequest
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if fieldError != nil {
		// An error here means that the target closed the connection; it announces itself again.
		_ = json.MarshalWrite(w, fieldError, jsontext.AllowInvalidUTF8(true))
	}
}
