package requester

import (
	"net"
	"net/http"
)

// newTargetTransport returns the way to targets: a connection for each request. On one
// that served another request before, a second copy of that one's answer may still
// arrive, and nothing in HTTP/1.1 tells whose answer it is.
func newTargetTransport() *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTime}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// peerTransports are the two ways to other instances. A request that may not be repeated
// gets a connection of its own: on one that was kept, the other side may be closing just
// now, and what became of the request would be unknown.
type peerTransports struct {
	kept  *http.Transport
	fresh *http.Transport
}

func newPeerTransports() *peerTransports {
	fresh := newTargetTransport()
	kept := fresh.Clone()
	kept.DisableKeepAlives = false
	kept.MaxIdleConnsPerHost = 256
	kept.IdleConnTimeout = idleTime / 2
	return &peerTransports{kept: kept, fresh: fresh}
}

// RoundTrip sends a request in the way that suits it.
func (t *peerTransports) RoundTrip(r *http.Request, repeatable bool) (*http.Response, error) {
	if repeatable {
		return t.kept.RoundTrip(r)
	}
	return t.fresh.RoundTrip(r)
}
