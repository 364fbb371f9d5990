package admitter

import "time"

const (
	// senderWindow is how many bytes an end sends without an acknowledgement: 16 packets.
	senderWindow = 16 * 1200
	// heavyShare is the share of what the link carries within the retransmission timeout from
	// which on a flow counts. Smaller ones fill the link only if very many come at once.
	heavyShare = 0.1
	// flowBytesWeight is the weight of a new flow in the average of a route's bytes.
	flowBytesWeight = 0.05
	// highQuantile is the quantile of the bytes of a route's flows that a new flow is counted with.
	// With the mean, many flows would bring more than they count.
	highQuantile = 0.9
	bitsPerByte  = 8
)

// linkLoad is the load of the instance's own link by flows whose callers send many bytes. Callers
// send a window at once. If more windows arrive than the link carries within the
// retransmission timeout, the ends send packets again that are still queued, and the link
// carries them twice.
type linkLoad struct {
	budget float64 // bytes that the link carries within the retransmission timeout
	routes map[string]*flowBytes
	flows  int     // open flows that count
	bytes  float64 // bytes of the open flows, as far as they may arrive at once
}

// newLinkLoad returns the load of a link with a rate in bits per second.
func newLinkLoad(bitsPerSecond float64) *linkLoad {
	return &linkLoad{budget: bitsPerSecond / bitsPerByte * RetransmissionTimeout.Seconds(), routes: make(map[string]*flowBytes)}
}

// flowBytes is what is known of the bytes that callers send on the flows of a route.
type flowBytes struct {
	mean, high float64   // bytes of a flow: average, and highQuantile
	open       []float64 // bytes that the open flows were counted with, in the order in which they began
}

// observe records the bytes of a flow.
func (b *flowBytes) observe(bytes float64) {
	if b.mean == 0 {
		b.mean, b.high = bytes, bytes
		return
	}
	step := flowBytesWeight * b.mean
	b.mean += flowBytesWeight * (bytes - b.mean)
	if bytes > b.high {
		b.high += step * highQuantile
	} else {
		b.high -= step * (1 - highQuantile)
	}
}

// window returns how many bytes a flow brings at once, 0 if that is not known.
func (b *flowBytes) window() float64 { return min(max(b.mean, b.high), senderWindow) }

// route returns what is known of a route.
func (l *linkLoad) route(terms *Terms) *flowBytes {
	b := l.routes[terms.Name]
	if b == nil {
		b = &flowBytes{}
		l.routes[terms.Name] = b
	}
	return b
}

// heavy reports whether flows that bring this many bytes at once count.
func (l *linkLoad) heavy(window float64) bool { return window >= heavyShare*l.budget }

// observe records how many bytes a caller has sent on a flow.
func (l *linkLoad) observe(route *Terms, bytes int) { l.route(route).observe(float64(bytes)) }

// Reason implements Load.
func (l *linkLoad) Reason() Reason { return LinkFull }

// HasRoom implements Load. Requests on open flows always have room. One flow at a time does too,
// however many bytes it brings.
func (l *linkLoad) HasRoom(_ time.Duration, r *Request) bool {
	window := l.route(r.Route).window()
	return !r.CanRefuse || l.flows == 0 || !l.heavy(window) || l.bytes+window <= l.budget
}

// Usage implements Load.
func (l *linkLoad) Usage(_ time.Duration, r *Request) (inProgress int, limit float64) {
	return l.flows, l.limit(l.route(r.Route).window())
}

// limit returns how many flows may be open that bring this many bytes at once.
func (l *linkLoad) limit(window float64) float64 {
	if window == 0 {
		window = senderWindow
	}
	return max(1, l.budget/window)
}

// meanWindow returns the average of the bytes that the open flows bring at once, 0 if none is open.
func (l *linkLoad) meanWindow() float64 { return l.bytes / float64(max(l.flows, 1)) }

// TimeFor implements Load.
func (l *linkLoad) TimeFor(_ time.Duration, r *Request, n int) time.Duration {
	mean := l.route(r.Route).mean
	return time.Duration(float64(n) * mean / l.budget * float64(RetransmissionTimeout))
}

// Begin implements Load.
func (l *linkLoad) Begin(_ time.Duration, _ string, route *Terms) {
	b := l.route(route)
	window := b.window()
	if !l.heavy(window) {
		window = 0
	}
	b.open = append(b.open, window)
	l.add(window, 1)
}

// End implements Load.
func (l *linkLoad) End(_ time.Duration, _ string, route *Terms) {
	b := l.route(route)
	if len(b.open) == 0 {
		return
	}
	window := b.open[0]
	b.open = b.open[1:]
	l.add(-window, -1)
}

// add adds a flow that counts with a number of bytes, or removes it.
func (l *linkLoad) add(bytes float64, flows int) {
	if bytes == 0 {
		return
	}
	l.flows += flows
	l.bytes += bytes
	if l.flows == 0 {
		l.bytes = 0 // without rounding errors
	}
}
