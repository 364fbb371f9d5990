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

// targetCall holds the parameters of a request that targetRoundTripper sends.
type targetCall struct {
	service      Service
	idempotent   bool
	slotDeadline time.Duration // end of the wait for a slot, as a time since Proxy.startedAt
}

// targetCallKey is the context key of a targetCall.
type targetCallKey struct{}

const (
	maxAttempts      = 3
	maxReplayBody    = 64 << 10                      // bytes; a longer body is streamed and not kept for a retry
	shedStatus       = http.StatusServiceUnavailable // with the outcome "not-run": the target sheds the request
	minFailureStatus = 500                           // responses from this status on count as failures of the target
)

// targetRoundTripper is the http.RoundTripper for requests to targets. It waits for a slot,
// sends the request, and retries on another target if that is safe.
type targetRoundTripper struct {
	proxy *Proxy
}

// RoundTrip implements http.RoundTripper.
func (t targetRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	call, ok := r.Context().Value(targetCallKey{}).(targetCall)
	if !ok {
		return nil, noTarget()
	}
	body, err := newReplayableBody(r)
	if err != nil {
		return nil, err
	}
	avoidTarget, possiblyRun := "", false
	for attempt := 1; ; attempt++ {
		queuedAt := t.proxy.now()
		s, err := t.proxy.slotPools.acquire(r.Context(), poolName(call.service.Jobs), call.service.Tenant, avoidTarget, call.slotDeadline)
		if err != nil {
			return nil, correctOutcomeError(queueWaitError(err), possiblyRun)
		}
		t.proxy.observer.ObserveSlotWait(call.service.Tenant, call.service.Class, s.acquiredAt-queuedAt)
		response, retry, err := t.sendToTarget(r, body, call, s)
		possiblyRun = possiblyRun || mayHaveRun(response, err)
		if retry && attempt < maxAttempts && body.canReplay() {
			if response != nil {
				response.Body.Close()
			}
			avoidTarget = s.target
			continue
		}
		if response != nil && possiblyRun {
			correctOutcomeHeader(response)
		}
		return response, correctOutcomeError(err, possiblyRun)
	}
}

// mayHaveRun reports whether a target may have run the request in an attempt with this
// result.
func mayHaveRun(response *http.Response, err error) bool {
	if err == nil {
		return response.Header.Get(HeaderOutcome) != string(OutcomeNotRun)
	}
	var p *Problem
	return !errors.As(err, &p) || p.Outcome != OutcomeNotRun
}

// correctOutcomeError changes the outcome of err from "not-run" to "unknown" if an attempt
// may have run the request, so that a later attempt's failure doesn't hide an earlier run.
func correctOutcomeError(err error, possiblyRun bool) error {
	var p *Problem
	if !possiblyRun || !errors.As(err, &p) || p.Outcome != OutcomeNotRun {
		return err
	}
	corrected := *p
	corrected.Outcome = OutcomeUnknown
	return &corrected
}

// correctOutcomeHeader changes the outcome of a response from "not-run" to "unknown": the
// target shed the last attempt, but an earlier attempt may have run the request.
func correctOutcomeHeader(response *http.Response) {
	if response.Header.Get(HeaderOutcome) == string(OutcomeNotRun) {
		response.Header.Set(HeaderOutcome, string(OutcomeUnknown))
	}
}

// queueWaitError converts an expired deadline into a timeout with the outcome "not-run",
// since the request was still waiting for a slot. Other errors are returned unchanged.
func queueWaitError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return timedOut(OutcomeNotRun)
	}
	return err
}

// sendToTarget sends the request to the target of the slot. The boolean result reports
// whether a retry is safe: the request did not run, or is idempotent.
func (t targetRoundTripper) sendToTarget(r *http.Request, body *replayableBody, call targetCall, s *slot) (*http.Response, bool, error) {
	target, ok := t.proxy.view.Load().targetByName[s.target]
	if !ok {
		s.release(dispatcher.ResultConnectionFailed)
		return nil, true, noTarget()
	}
	var headersWritten atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }}
	outgoing := r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	outgoing.URL.Scheme = "http"
	outgoing.URL.Host = target.RequestAddress.String()
	outgoing.Body = body.newReader()
	setTimeoutHeader(outgoing, call.slotDeadline-t.proxy.now())
	response, err := t.proxy.targetTransport.RoundTrip(outgoing)
	if err != nil {
		s.release(failureResult(r.Context()))
		if !headersWritten.Load() {
			return nil, r.Context().Err() == nil, notReached(err)
		}
		if ctxErr := r.Context().Err(); ctxErr != nil {
			return nil, false, ctxErr
		}
		return nil, call.idempotent, connectionBroken(err)
	}
	if response.StatusCode == shedStatus && response.Header.Get(HeaderOutcome) == string(OutcomeNotRun) {
		s.release(dispatcher.ResultShed)
		return response, true, nil
	}
	if isCloseDelimited(r.Method, response) {
		response.Body.Close()
		s.release(dispatcher.ResultError)
		t.proxy.log.Info("answer-without-length", "service", call.service.Name, "target", s.target, "status", response.StatusCode)
		return nil, false, noLength()
	}
	response.Header.Set(HeaderOutcome, string(OutcomeRan))
	response.Body = &slotReleasingBody{ReadCloser: response.Body, slot: s, errorStatus: response.StatusCode >= minFailureStatus}
	return response, false, nil
}

// isCloseDelimited reports whether the end of the connection ends the body of the response,
// which has neither a length nor chunked encoding. A truncated response of this kind cannot
// be told from a complete one.
func isCloseDelimited(method string, response *http.Response) bool {
	withoutBody := method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	return !withoutBody && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// failureResult returns the result for a failed round trip. A cancellation or deadline of
// the request doesn't count against the target.
func failureResult(ctx context.Context) dispatcher.Result {
	if ctx.Err() != nil {
		return dispatcher.ResultOK
	}
	return dispatcher.ResultConnectionFailed
}

// setTimeoutHeader sets Almondpick-Timeout to the remaining time, in seconds.
func setTimeoutHeader(r *http.Request, remaining time.Duration) {
	r.Header.Set(HeaderTimeout, strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
}

// slotReleasingBody is the body of a target's response. Close releases the slot, once the
// body has been read to its end or abandoned.
type slotReleasingBody struct {
	io.ReadCloser
	slot        *slot
	errorStatus bool // the status is minFailureStatus or above
	readFailed  bool // reading failed for another reason than the caller's cancellation
}

// Read implements io.Reader.
func (b *slotReleasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		b.readFailed = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotReleasingBody) Close() error {
	result := dispatcher.ResultOK
	if b.errorStatus {
		result = dispatcher.ResultError
	}
	if b.readFailed {
		result = dispatcher.ResultConnectionFailed
	}
	b.slot.release(result)
	return b.ReadCloser.Close()
}

// replayableBody is a request body that a retry can send again. A body of at most
// maxReplayBody is read into memory; a longer one, or one of unknown length, is streamed and
// can be sent again only while none of it has been read.
type replayableBody struct {
	buffered   []byte
	stream     io.ReadCloser // nil for a buffered body
	streamRead atomic.Bool
}

func newReplayableBody(r *http.Request) (*replayableBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &replayableBody{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBody {
		return &replayableBody{stream: r.Body}, nil
	}
	b, err := io.ReadAll(r.Body)
	var tooLargeErr *http.MaxBytesError
	if errors.As(err, &tooLargeErr) {
		return nil, tooLarge()
	}
	if err != nil {
		p := newProblem("body-broken", "The request's body was cut off", http.StatusBadRequest, OutcomeNotRun)
		p.cause = err
		return nil, p
	}
	return &replayableBody{buffered: b}, nil
}

func (b *replayableBody) canReplay() bool {
	return b.stream == nil || !b.streamRead.Load()
}

// newReader returns the body for one attempt. Closing it does not close a streamed body.
func (b *replayableBody) newReader() io.ReadCloser {
	if b.stream != nil {
		return struct {
			io.Reader
			io.Closer
		}{b, io.NopCloser(nil)}
	}
	if len(b.buffered) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

// Read implements io.Reader for a streamed body.
func (b *replayableBody) Read(p []byte) (int, error) {
	b.streamRead.Store(true)
	return b.stream.Read(p)
}
