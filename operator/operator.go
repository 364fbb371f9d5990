// Package operator is the operator door: gRPC for operators, and HTTP for targets
// that announce themselves, for metrics and for health.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/pprof"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/messenger"
	"almondpick/planner"
)

const maxAnnouncement = 4 << 10 // bytes

// Control is what the door needs of the control state.
type Control interface {
	Submit(ctx context.Context, c planner.Command) (planner.Answer, error)
	Plan(ctx context.Context, id string) (planner.Answer, error)
	Status(ctx context.Context) (*messenger.Status, error)
	History(ctx context.Context) ([]planner.Plan, error)
	ClusterState(ctx context.Context) (controller.ClusterState, error)
	Announce(ctx context.Context, a announcer.Announcement) error
}

// Service answers operators. It implements messenger.OperatorServer.
type Service struct {
	control Control
	log     *slog.Logger
}

// New returns a service over the control state.
func New(c Control, log *slog.Logger) *Service {
	return &Service{control: c, log: log}
}

// State answers an intent with a plan or a refusal.
func (s *Service) State(ctx context.Context, i *planner.Intent) (*planner.Answer, error) {
	a, err := s.control.Submit(ctx, planner.Command{State: &planner.StateIntent{Intent: *i}})
	if err != nil {
		return nil, err
	}
	s.log.Info("intent-stated", "intent", i.ID, "action", i.Action, "answer", answerWord(a))
	return &a, nil
}

// Confirm puts a plan into force or refuses to.
func (s *Service) Confirm(ctx context.Context, r *messenger.PlanRequest) (*planner.Answer, error) {
	a, err := s.control.Submit(ctx, planner.Command{Confirm: &planner.ConfirmPlan{Plan: r.Plan}})
	if err != nil {
		return nil, err
	}
	s.log.Info("plan-confirmed", "plan", r.Plan, "answer", answerWord(a))
	return &a, nil
}

func answerWord(a planner.Answer) string {
	if a.Refusal != nil {
		return string(a.Refusal.Code)
	}
	if a.Plan != nil {
		return "plan " + a.Plan.ID
	}
	return "none"
}

// Plan shows a plan.
func (s *Service) Plan(ctx context.Context, r *messenger.PlanRequest) (*planner.Answer, error) {
	a, err := s.control.Plan(ctx, r.Plan)
	return &a, err
}

// Status shows the deployment.
func (s *Service) Status(ctx context.Context, _ *messenger.Empty) (*messenger.Status, error) {
	return s.control.Status(ctx)
}

// History lists the confirmed plans.
func (s *Service) History(ctx context.Context, _ *messenger.Empty) (*messenger.PlanList, error) {
	plans, err := s.control.History(ctx)
	return &messenger.PlanList{Plans: plans}, err
}

// Services lists the services.
func (s *Service) Services(ctx context.Context, _ *messenger.Empty) (*messenger.ServiceList, error) {
	w, err := s.control.ClusterState(ctx)
	if err != nil {
		return nil, err
	}
	list := &messenger.ServiceList{Version: w.Config.Version}
	for _, name := range slices.Sorted(maps.Keys(w.Config.Services)) {
		list.Services = append(list.Services, w.Config.Services[name])
	}
	return list, nil
}

// Targets lists the targets.
func (s *Service) Targets(ctx context.Context, _ *messenger.Empty) (*messenger.TargetList, error) {
	w, err := s.control.ClusterState(ctx)
	if err != nil {
		return nil, err
	}
	list := &messenger.TargetList{}
	for _, t := range w.Targets {
		drained := w.Config.Drained[t.Name()]
		state := t.State.String()
		if t.Lost {
			state = "lost"
		}
		list.Targets = append(list.Targets, messenger.TargetStatus{
			Endpoint: t.Name(), Job: t.Job, DataCentre: t.DataCentre, State: state, Drained: drained,
			Fit: t.Fit(w.TakenAt) && !drained, Slots: t.Slots, Connections: t.Connections, Load: t.Load, Home: t.Home,
		})
	}
	return list, nil
}

// Health tells whether the instance takes traffic.
type Health interface {
	Ready() bool
}

// Handler returns the HTTP side of the door.
func (s *Service) Handler(h Health, g prometheus.Gatherer, profiles bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", s.announce)
	mux.Handle("GET /metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	if profiles {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// announce takes in what a target says of itself.
func (s *Service) announce(w http.ResponseWriter, r *http.Request) {
	var a announcer.Announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&a)
	if err != nil {
		var field *announcer.FieldError
		if !errors.As(err, &field) {
			err = &announcer.FieldError{Field: "body", Value: err.Error(), Allowed: "an announcement in JSON"}
		}
	} else {
		err = s.control.Announce(r.Context(), a)
	}
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	status := http.StatusServiceUnavailable
	var field *announcer.FieldError
	if errors.As(err, &field) {
		status = http.StatusBadRequest
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if field != nil {
		// The target may be gone; it will announce itself again.
		_ = json.NewEncoder(w).Encode(field)
	}
}
