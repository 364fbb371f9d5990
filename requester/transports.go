package requester

import (
	"net"
	"net/http"
	"time"
)

// newTargetTransport returns the transport to targets, which opens a connection for each
// request. On a reused connection a duplicate response to the previous request may still
// arrive, and nothing in HTTP/1.1 tells which request a response belongs to.
func newTargetTransport() *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// peerIdleTimeout is short, because a connection may go silent without being closed, and a request
// on it would wait until its deadline.
const peerIdleTimeout = time.Second

// peerTransports are the two transports to other instances. Requests with an unsafe method
// get a new connection each: the peer may be closing a reused connection at that moment, and
// the outcome of the request would then be unknown.
type peerTransports struct {
	keepAlive     *http.Transport // reuses connections
	newConnection *http.Transport // opens one for each request
}

func newPeerTransports() *peerTransports {
	newConnection := newTargetTransport()
	keepAlive := newConnection.Clone()
	keepAlive.DisableKeepAlives = false
	keepAlive.MaxIdleConnsPerHost = 256
	keepAlive.IdleConnTimeout = peerIdleTimeout
	return &peerTransports{keepAlive: keepAlive, newConnection: newConnection}
}

// RoundTrip sends a request to another instance. Only requests with a safe method may use
// an existing connection.
func (t *peerTransports) RoundTrip(r *http.Request, safeMethod bool) (*http.Response, error) {
	if safeMethod {
		return t.keepAlive.RoundTrip(r)
	}
	return t.newConnection.RoundTrip(r)
}
