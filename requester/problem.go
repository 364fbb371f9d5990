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

// Headers of requests and responses.
const (
	HeaderOutcome        = "Almondpick-Outcome"
	HeaderTimeout        = "Almondpick-Timeout" // seconds that the caller will wait
	HeaderTicket         = "Almondpick-Ticket"  // the idempotency key, on requests to instances and targets
	HeaderIdempotencyKey = "Idempotency-Key"    // the idempotency key, on requests from callers
	headerHops           = "Almondpick-Hops"    // how often instances have forwarded the request
	headerRunCode        = "Almondpick-Run"     // authorization to run the request, see Proxy.authorizedToRun
)

// Outcome tells a caller whether a target ran its request.
type Outcome string

// The outcomes.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Problem is the body of an error response (RFC 9457) and the error type of this package.
// Each kind of failure has its own Type.
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Outcome    Outcome       `json:"outcome"`
	RetryAfter time.Duration `json:"-"` // sent as the Retry-After header if positive
	cause      error         // not sent
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

// newProblem returns a Problem of the type urn:almondpick:KIND.
func newProblem(kind, title string, status int, o Outcome) *Problem {
	return &Problem{Type: "urn:almondpick:" + kind, Title: title, Status: status, Outcome: o}
}

func unknownName(host string) *Problem {
	p := newProblem("unknown-name", "No service has this name", http.StatusNotFound, OutcomeNotRun)
	p.Detail = host
	return p
}

func badTicket(err error) *Problem {
	p := newProblem("bad-ticket", "The ticket was not issued by this deployment", http.StatusBadRequest, OutcomeNotRun)
	p.Detail = err.Error()
	return p
}

func overloaded(wait time.Duration) *Problem {
	p := newProblem("overloaded", "The request would wait too long", http.StatusServiceUnavailable, OutcomeNotRun)
	p.RetryAfter = max(wait, time.Second)
	return p
}

func tooManyRequests() *Problem {
	p := newProblem("too-many-requests", "This instance serves as many requests as it can", http.StatusServiceUnavailable, OutcomeNotRun)
	p.RetryAfter = time.Second
	return p
}

func notReached(err error) *Problem {
	p := newProblem("not-reached", "The target could not be reached", http.StatusBadGateway, OutcomeNotRun)
	p.cause = err
	return p
}

func connectionBroken(err error) *Problem {
	p := newProblem("broken", "The connection broke before the answer was whole", http.StatusBadGateway, OutcomeUnknown)
	p.cause = err
	return p
}

func noLength() *Problem {
	return newProblem("no-length", "The target answered without a length; nothing shows whether the answer is whole",
		http.StatusBadGateway, OutcomeRan)
}

func timedOut(o Outcome) *Problem {
	return newProblem("timeout", "The request did not end in time", http.StatusGatewayTimeout, o)
}

func issuerLost() *Problem {
	return newProblem("issuer-lost", "The issuer of the ticket is gone; the work may have run", http.StatusBadGateway, OutcomeUnknown)
}

func ticketExpired() *Problem {
	return newProblem("ticket-expired", "The ticket is too old; the work may have run", http.StatusGone, OutcomeUnknown)
}

func ticketReused() *Problem {
	return newProblem("ticket-reused", "The ticket was used for another request", http.StatusUnprocessableEntity, OutcomeNotRun)
}

func answerNotKept(status int) *Problem {
	p := newProblem("answer-not-kept", "The work ran; its answer is not kept any more", http.StatusGone, OutcomeRan)
	p.Detail = "the target answered " + strconv.Itoa(status)
	return p
}

func tooManyHops() *Problem {
	return newProblem("too-many-hops", "The instances do not agree who should run the request", http.StatusLoopDetected, OutcomeNotRun)
}

func upgradeRefused() *Problem {
	return newProblem("upgrade", "Protocol upgrades are not passed on", http.StatusNotImplemented, OutcomeNotRun)
}

func tooLarge() *Problem {
	return newProblem("too-large", "The request's body is too large", http.StatusRequestEntityTooLarge, OutcomeNotRun)
}

func badTimeout(text string) *Problem {
	p := newProblem("bad-timeout", "The timeout is not a number of seconds above 0", http.StatusBadRequest, OutcomeNotRun)
	p.Detail = text
	return p
}

// asProblem returns the Problem in the chain of err. Other errors become a timeout or a
// broken connection, with the outcome "unknown".
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return timedOut(OutcomeUnknown)
	}
	return connectionBroken(err)
}

// writeTo sends the problem as the response.
func (p *Problem) writeTo(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	// The caller may have disconnected; nobody else needs the error.
	_ = json.NewEncoder(w).Encode(p)
}
