package requester

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// peerRoundTripper sends requests to other instances. Its errors distinguish a request of
// which nothing was sent (outcome "not-run") from one that may have been sent ("unknown").
type peerRoundTripper struct {
	transports *peerTransports
}

// RoundTrip implements http.RoundTripper. Its errors are of type *Problem, or
// context.Canceled if the request's context was cancelled.
func (t peerRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	var headersWritten atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }}
	outgoing := r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	if r.Body != nil && r.Body != http.NoBody {
		outgoing.Body = noCloseBody{r.Body}
	}
	response, err := t.transports.RoundTrip(outgoing, isSafeMethod(r.Method))
	if err == nil {
		return response, nil
	}
	if !headersWritten.Load() && r.Context().Err() == nil {
		return nil, notReached(err)
	}
	if ctxErr := r.Context().Err(); ctxErr == context.Canceled {
		return nil, ctxErr
	}
	return nil, connectionBroken(err)
}

// noCloseBody prevents the HTTP client from closing a request body that this instance may
// still send to a target itself, when the peer cannot be reached.
type noCloseBody struct {
	io.Reader
}

// Close implements io.Closer.
func (noCloseBody) Close() error {
	return nil
}
