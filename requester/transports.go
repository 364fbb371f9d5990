package requester

import (
	"net"
	"net/http"
)

// transports are the two ways to send a request. One that may not be repeated gets a
// connection of its own: on one that was kept, the other side may be closing just now,
// and what became of the request would be unknown.
type transports struct {
	kept  *http.Transport
	fresh *http.Transport
}

func newTransports() *transports {
	kept := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     idleTime / 2,
		DisableCompression:  true,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &transports{kept: kept, fresh: fresh}
}

// RoundTrip sends a request in the way that suits it.
func (t *transports) RoundTrip(r *http.Request, repeatable bool) (*http.Response, error) {
	if repeatable {
		return t.kept.RoundTrip(r)
	}
	return t.fresh.RoundTrip(r)
}
