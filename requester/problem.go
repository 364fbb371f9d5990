package requester

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of the request door.
const (
	HeaderOutcome        = "Almondpick-Outcome"
	HeaderTimeout        = "Almondpick-Timeout" // seconds that the caller will wait
	HeaderTicket         = "Almondpick-Ticket"  // the ticket, on the way to the target
	HeaderIdempotencyKey = "Idempotency-Key"
	headerHops           = "Almondpick-Hops"
	headerRun            = "Almondpick-Run"
)

// Outcome tells a caller what became of its request.
type Outcome string

// The outcomes.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Problem is an error as callers see it (RFC 9457). It is also the error type of
// the door: every failure has its Type.
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Outcome    Outcome       `json:"outcome"`
	RetryAfter time.Duration `json:"-"`
	cause      error
}

// Error implements error.
func (p *Problem) Error() string {
	text := p.Type + " (" + string(p.Outcome) + ")"
	if p.cause != nil {
		text += ": " + p.cause.Error()
	}
	return text
}

// Unwrap returns the cause, if any.
func (p *Problem) Unwrap() error {
	return p.cause
}

func problem(kind, title string, status int, o Outcome) *Problem {
	return &Problem{Type: "urn:almondpick:" + kind, Title: title, Status: status, Outcome: o}
}

func unknownName(host string) *Problem {
	p := problem("unknown-name", "No service has this name", http.StatusNotFound, OutcomeNotRun)
	p.Detail = host
	return p
}

func badTicket(err error) *Problem {
	p := problem("bad-ticket", "The ticket was not issued by this deployment", http.StatusBadRequest, OutcomeNotRun)
	p.Detail = err.Error()
	return p
}

func refused(wait time.Duration) *Problem {
	p := problem("overloaded", "The request would wait too long", http.StatusServiceUnavailable, OutcomeNotRun)
	p.RetryAfter = max(wait, time.Second)
	return p
}

func poolFull() *Problem {
	p := problem("too-many-requests", "This instance serves as many requests as it can", http.StatusServiceUnavailable, OutcomeNotRun)
	p.RetryAfter = time.Second
	return p
}

func notReached(err error) *Problem {
	p := problem("not-reached", "The target could not be reached", http.StatusBadGateway, OutcomeNotRun)
	p.cause = err
	return p
}

func broken(err error) *Problem {
	p := problem("broken", "The connection broke before the answer was whole", http.StatusBadGateway, OutcomeUnknown)
	p.cause = err
	return p
}

func noLength() *Problem {
	return problem("no-length", "The target answered without a length; nothing shows whether the answer is whole",
		http.StatusBadGateway, OutcomeRan)
}

func timedOut(o Outcome) *Problem {
	return problem("timeout", "The request did not end in time", http.StatusGatewayTimeout, o)
}

func issuerLost() *Problem {
	return problem("issuer-lost", "The issuer of the ticket is gone; the work may have run", http.StatusBadGateway, OutcomeUnknown)
}

func ticketExpired() *Problem {
	return problem("ticket-expired", "The ticket is too old; the work may have run", http.StatusGone, OutcomeUnknown)
}

func ticketReused() *Problem {
	return problem("ticket-reused", "The ticket was used for another request", http.StatusUnprocessableEntity, OutcomeNotRun)
}

func answerNotKept(status int) *Problem {
	p := problem("answer-not-kept", "The work ran; its answer is not kept any more", http.StatusGone, OutcomeRan)
	p.Detail = "the target answered " + strconv.Itoa(status)
	return p
}

func tooManyHops() *Problem {
	return problem("too-many-hops", "The instances do not agree who should run the request", http.StatusLoopDetected, OutcomeNotRun)
}

func upgradeRefused() *Problem {
	return problem("upgrade", "Protocol upgrades are not passed on", http.StatusNotImplemented, OutcomeNotRun)
}

func tooLarge() *Problem {
	return problem("too-large", "The request's body is too large", http.StatusRequestEntityTooLarge, OutcomeNotRun)
}

func badTimeout(text string) *Problem {
	p := problem("bad-timeout", "The timeout is not a number of seconds above 0", http.StatusBadRequest, OutcomeNotRun)
	p.Detail = text
	return p
}

// asProblem returns the problem that err is, or one for an error of another type.
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return timedOut(OutcomeUnknown)
	}
	return broken(err)
}

// write sends the problem as the answer.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(p)
}
