package requester

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// peerTransport carries requests to other instances and tells failures in which
// nothing was sent from those in which something may have been.
type peerTransport struct {
	transport *peerTransports
}

// RoundTrip implements http.RoundTripper. Its errors are *Problem or those of the
// request's context.
func (t peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}
	out := r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	if r.Body != nil && r.Body != http.NoBody {
		out.Body = keptOpen{r.Body}
	}
	response, err := t.transport.RoundTrip(out, safe(r.Method))
	if err == nil {
		return response, nil
	}
	if !wrote.Load() && r.Context().Err() == nil {
		return nil, notReached(err)
	}
	if ctxErr := r.Context().Err(); ctxErr == context.Canceled {
		return nil, ctxErr
	}
	return nil, broken(err)
}

// keptOpen keeps the HTTP client from closing a body that may yet be sent elsewhere.
type keptOpen struct {
	io.Reader
}

// Close implements io.Closer.
func (keptOpen) Close() error {
	return nil
}
