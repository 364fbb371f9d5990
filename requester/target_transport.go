package requester

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"almondpick/dispatcher"
)

// call is one request on its way to a target.
type call struct {
	service    Service
	repeatable bool
	deadline   time.Duration
}

type callKey struct{}

const (
	maxTries     = 3
	replayLimit  = 64 << 10 // bytes of a body that are kept for another try
	shedStatus   = http.StatusServiceUnavailable
	targetErrors = 500 // status from which an answer counts as the target's failure
)

// dispatchTransport is the http.RoundTripper between the door and the targets. It
// waits for a slot, sends, and tries another target where that is safe.
type dispatchTransport struct {
	door *Proxy
}

// RoundTrip implements http.RoundTripper.
func (t dispatchTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c, ok := r.Context().Value(callKey{}).(call)
	if !ok {
		return nil, noTarget()
	}
	body, err := newReplay(r)
	if err != nil {
		return nil, err
	}
	avoid, ran := "", false
	for try := 1; ; try++ {
		begun := t.door.now()
		s, err := t.door.pools.acquire(r.Context(), poolName(c.service.Jobs), c.service.Tenant, avoid, c.deadline)
		if err != nil {
			return nil, afterTries(beforeStart(err), ran)
		}
		t.door.observer.Waited(c.service.Tenant, c.service.Class, s.begun-begun)
		response, again, err := t.send(r, body, c, s)
		ran = ran || mayHaveRun(response, err)
		if again && try < maxTries && body.rewindable() {
			if response != nil {
				response.Body.Close()
			}
			avoid = s.target
			continue
		}
		if response != nil && ran {
			withdrawNotRun(response)
		}
		return response, afterTries(err, ran)
	}
}

// mayHaveRun tells whether a try may have had the work run by a target.
func mayHaveRun(response *http.Response, err error) bool {
	if err == nil {
		return response.Header.Get(HeaderOutcome) != string(OutcomeNotRun)
	}
	var p *Problem
	return !errors.As(err, &p) || p.Outcome != OutcomeNotRun
}

// afterTries keeps the error of the last try from saying "not-run" of work that an earlier
// one may have had run.
func afterTries(err error, ran bool) error {
	var p *Problem
	if !ran || !errors.As(err, &p) || p.Outcome != OutcomeNotRun {
		return err
	}
	said := *p
	said.Outcome = OutcomeUnknown
	return &said
}

// withdrawNotRun does the same for the answer of a target that shed the last try.
func withdrawNotRun(response *http.Response) {
	if response.Header.Get(HeaderOutcome) == string(OutcomeNotRun) {
		response.Header.Set(HeaderOutcome, string(OutcomeUnknown))
	}
}

// beforeStart makes a deadline or cancellation that came while work waited a
// truthful "not-run".
func beforeStart(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return timedOut(OutcomeNotRun)
	}
	return err
}

// send sends the request to the target of the slot. again tells whether another
// try is safe: the work did not run, or may be repeated.
func (t dispatchTransport) send(r *http.Request, body *replay, c call, s *slot) (*http.Response, bool, error) {
	target, ok := t.door.view.Load().targets[s.target]
	if !ok {
		s.finish(dispatcher.ResultConnectionFailed)
		return nil, true, noTarget()
	}
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}
	out := r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	out.URL.Scheme = "http"
	out.URL.Host = target.RequestAddress.String()
	out.Body = body.reader()
	setTimeout(out, c.deadline-t.door.now())
	response, err := t.door.targets.RoundTrip(out)
	if err != nil {
		s.finish(resultOf(r.Context()))
		if !wrote.Load() {
			return nil, r.Context().Err() == nil, notReached(err)
		}
		if ctxErr := r.Context().Err(); ctxErr != nil {
			return nil, false, ctxErr
		}
		return nil, c.repeatable, broken(err)
	}
	if response.StatusCode == shedStatus && response.Header.Get(HeaderOutcome) == string(OutcomeNotRun) {
		s.finish(dispatcher.ResultShed)
		return response, true, nil
	}
	if endsWithConnection(r.Method, response) {
		response.Body.Close()
		s.finish(dispatcher.ResultError)
		t.door.log.Info("answer-without-length", "service", c.service.Name, "target", s.target, "status", response.StatusCode)
		return nil, false, noLength()
	}
	response.Header.Set(HeaderOutcome, string(OutcomeRan))
	response.Body = &slotBody{ReadCloser: response.Body, slot: s, failed: response.StatusCode >= targetErrors}
	return response, false, nil
}

// endsWithConnection tells whether an answer has neither a length nor an end of its own,
// so that one which broke off looks like a whole one.
func endsWithConnection(method string, response *http.Response) bool {
	bodiless := method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	return !bodiless && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// resultOf keeps a caller that went away from counting against the target.
func resultOf(ctx context.Context) dispatcher.Result {
	if ctx.Err() != nil {
		return dispatcher.ResultOK
	}
	return dispatcher.ResultConnectionFailed
}

func setTimeout(r *http.Request, left time.Duration) {
	r.Header.Set(HeaderTimeout, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
}

// slotBody gives the slot back when the answer has been read to its end or given up.
type slotBody struct {
	io.ReadCloser
	slot   *slot
	failed bool
	broke  bool
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		b.broke = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	result := dispatcher.ResultOK
	if b.failed {
		result = dispatcher.ResultError
	}
	if b.broke {
		result = dispatcher.ResultConnectionFailed
	}
	b.slot.finish(result)
	return b.ReadCloser.Close()
}

// replay lets a request body be sent again. Short bodies are read ahead; longer
// ones are streamed and can be sent again only while nothing was read.
type replay struct {
	short  []byte
	stream io.ReadCloser
	read   atomic.Bool
}

func newReplay(r *http.Request) (*replay, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &replay{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > replayLimit {
		return &replay{stream: r.Body}, nil
	}
	b, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge()
	}
	if err != nil {
		p := problem("body-broken", "The request's body was cut off", http.StatusBadRequest, OutcomeNotRun)
		p.cause = err
		return nil, p
	}
	return &replay{short: b}, nil
}

func (b *replay) rewindable() bool {
	return b.stream == nil || !b.read.Load()
}

func (b *replay) reader() io.ReadCloser {
	if b.stream != nil {
		return struct {
			io.Reader
			io.Closer
		}{b, io.NopCloser(nil)}
	}
	if len(b.short) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.short))
}

// Read implements io.Reader for the streamed form.
func (b *replay) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.stream.Read(p)
}
