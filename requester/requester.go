// Package requester implements the HTTP reverse proxy of an instance, which settings and
// flags call the request door. The proxy selects a service by the host name of the request,
// sends the request to one of the service's targets once that has a free slot, and reports
// the outcome in the Almondpick-Outcome header of the response.
//
// The targets that serve the same set of jobs form a pool. One instance assigns the slots
// of a pool (see package dispatcher); the other instances forward their requests to it.
package requester

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"

	"almondpick/issuer"
	"almondpick/ranker"
)

// Limits and timeouts of a Proxy.
const (
	DefaultWorkers     = 4096
	DefaultMaxBodySize = 64 << 20 // bytes
	maxHeaderBytes     = 64 << 10 // of a request
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	dialTimeout        = time.Second
	pollInterval       = 50 * time.Millisecond
	maxCallerTimeout   = time.Hour // of a request; also used if the caller sets none
	maxHops            = 3         // forwards between instances
)

// Clock provides the current time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Observer records request metrics. The instance that receives a request from a caller calls
// ObserveRequest when the request ends. The instance that dispatches the request calls
// ObserveSlotWait for each attempt that gets a slot, with the time that the attempt waited.
type Observer interface {
	ObserveRequest(tenant, class string, o Outcome, took time.Duration)
	ObserveSlotWait(tenant, class string, d time.Duration)
}

type noObserver struct{}

func (noObserver) ObserveRequest(string, string, Outcome, time.Duration) {}

func (noObserver) ObserveSlotWait(string, string, time.Duration) {}

// Proxy is the HTTP reverse proxy of one instance.
type Proxy struct {
	instance    string
	incarnation uint64
	issuerID    string
	clock       Clock
	startedAt   time.Time
	signer      issuer.Signer
	log         *slog.Logger
	observer    Observer
	workers     int
	maxBodySize int64

	view             atomic.Pointer[indexedView]
	slotPools        *slotPools
	targetTransport  *http.Transport
	peerTransports   *peerTransports
	workerPool       *ants.Pool
	httpServer       *http.Server
	keyMu            sync.Mutex                  // guards the fields from keyTables to handoverCount
	keyTables        map[string]*issuer.KeyTable // by issuer ID
	runningKeyed     int                         // running requests with an idempotency key
	keyedPaused      bool                        // true while the key tables are handed over
	keyedResumed     *sync.Cond                  // signals a change of keyedPaused
	stagedHandovers  []stagedHandover            // incomplete handovers from other instances, oldest first
	handoverCount    int                         // handovers that this Proxy has started
	successorAddress atomic.Pointer[string]      // nil until the key tables are handed over
	shuttingDown     atomic.Bool
	lastActivity     atomic.Int64 // time.Duration from startedAt to the last new connection or request
	closed           chan struct{}
	backgroundLoops  sync.WaitGroup
}

// Option configures a new Proxy.
type Option func(*Proxy)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *slog.Logger) Option {
	return func(px *Proxy) { px.log = l }
}

// WithObserver sets the recipient of request metrics.
func WithObserver(o Observer) Option {
	return func(px *Proxy) { px.observer = o }
}

// WithWorkers sets the maximum number of requests that are served at a time.
func WithWorkers(n int) Option {
	return func(px *Proxy) { px.workers = n }
}

// WithMaxBodySize sets the maximum size of a request body, in bytes.
func WithMaxBodySize(n int64) Option {
	return func(px *Proxy) { px.maxBodySize = n }
}

// New starts a Proxy on the listener, which Shutdown or Close closes. The name and
// incarnation identify this process as an issuer of idempotency keys. All instances of the
// group have to use the same signing key.
func New(name string, incarnation uint64, l net.Listener, clock Clock, signer issuer.Signer, opts ...Option) (*Proxy, error) {
	px := &Proxy{
		instance:        name,
		incarnation:     incarnation,
		issuerID:        issuer.IdempotencyKey{Instance: name, Incarnation: incarnation}.IssuerID(),
		clock:           clock,
		startedAt:       clock.Now(),
		signer:          signer,
		log:             slog.New(slog.DiscardHandler),
		observer:        noObserver{},
		workers:         DefaultWorkers,
		maxBodySize:     DefaultMaxBodySize,
		keyTables:       make(map[string]*issuer.KeyTable),
		closed:          make(chan struct{}),
		targetTransport: newTargetTransport(),
		peerTransports:  newPeerTransports(),
	}
	for _, o := range opts {
		o(px)
	}
	px.slotPools = newSlotPools(px.now)
	px.keyedResumed = sync.NewCond(&px.keyMu)
	px.keyTables[px.issuerID] = issuer.NewKeyTable()
	px.view.Store(indexView(View{}))
	workerPool, err := ants.NewPool(px.workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, eris.Wrap(err, "create worker pool")
	}
	px.workerPool = workerPool
	px.httpServer = &http.Server{
		Handler:           http.HandlerFunc(px.serveOnWorker),
		ConnState:         px.recordActivity,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(px.log.Handler(), slog.LevelDebug),
	}
	px.backgroundLoops.Add(2)
	go px.serve(l)
	go px.expireLoop()
	return px, nil
}

func (px *Proxy) serve(l net.Listener) {
	defer px.backgroundLoops.Done()
	if err := px.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		px.log.Error("request-door-failed", "error", err)
	}
}

// expireLoop removes requests from the queues when their deadline has passed. The loop
// blocks while no request is queued.
func (px *Proxy) expireLoop() {
	defer px.backgroundLoops.Done()
	for {
		select {
		case <-px.closed:
			return
		case <-px.slotPools.waiterAdded:
		}
		if !px.expireUntilIdle() {
			return
		}
	}
}

// expireUntilIdle checks the queues at every pollInterval until no request is queued. It
// returns false when the Proxy has been closed.
func (px *Proxy) expireUntilIdle() bool {
	ticks, stop := px.clock.Ticker(pollInterval)
	defer stop()
	for {
		select {
		case <-px.closed:
			return false
		case <-ticks:
		}
		if !px.slotPools.expireWaiters() {
			return true
		}
	}
}

// Close aborts the requests in progress and waits for the background goroutines of the
// Proxy. Shutdown is the graceful alternative.
func (px *Proxy) Close() error {
	err := px.httpServer.Close()
	close(px.closed)
	px.backgroundLoops.Wait()
	px.peerTransports.keepAlive.CloseIdleConnections()
	px.workerPool.Release()
	return err
}

// IssuerID returns the identifier of this process as an issuer of idempotency keys.
func (px *Proxy) IssuerID() string {
	return px.issuerID
}

// QueuedRequests returns the number of requests that wait for a slot, by pool.
func (px *Proxy) QueuedRequests() map[string]int {
	return px.slotPools.queuedRequests()
}

// serveOnWorker serves a request on a goroutine of the worker pool. httputil.ReverseProxy
// panics to abort a response that it cannot complete; net/http only handles that panic on
// its own goroutine, so it is raised again here.
func (px *Proxy) serveOnWorker(w http.ResponseWriter, r *http.Request) {
	if px.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	finished := make(chan any, 1)
	err := px.workerPool.Submit(func() {
		defer func() { finished <- recover() }()
		px.route(w, r)
	})
	if err != nil {
		tooManyRequests().writeTo(w)
		return
	}
	if panicValue := <-finished; panicValue != nil {
		panic(panicValue)
	}
}

// route serves requests for idempotency keys on every host name, and all other requests by
// the service that the host name belongs to.
func (px *Proxy) route(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/tickets" && r.Method == http.MethodPost && hopCount(r) <= maxHops {
		px.serveIssueKey(w, r)
		return
	}
	s, ok := px.view.Load().serviceByHost[hostName(r.Host)]
	switch {
	case !ok:
		unknownName(r.Host).writeTo(w)
	case hopCount(r) > maxHops:
		tooManyHops().writeTo(w)
	case r.Header.Get("Upgrade") != "":
		upgradeRefused().writeTo(w)
	case r.ContentLength > px.maxBodySize:
		tooLarge().writeTo(w)
	default:
		px.serveObserved(w, r, s)
	}
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func hopCount(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(headerHops))
	if err != nil {
		return 0
	}
	return n
}

// serveObserved serves a request and reports it to the observer, unless another instance
// forwarded the request: that one reports it.
func (px *Proxy) serveObserved(w http.ResponseWriter, r *http.Request, s Service) {
	receivedAt := px.clock.Now()
	fromCaller := hopCount(r) == 0
	defer func() {
		if fromCaller {
			o := Outcome(w.Header().Get(HeaderOutcome))
			px.observer.ObserveRequest(s.Tenant, s.Class, o, px.clock.Now().Sub(receivedAt))
		}
	}()
	keyText := requestKey(r)
	if keyText == "" || px.authorizedToRun(r, s) {
		r.Body = http.MaxBytesReader(w, r.Body, px.maxBodySize)
		px.dispatchRequest(w, r, s)
		return
	}
	px.serveKeyed(w, r, s, keyText)
}

// authorizedToRun reports whether another instance forwarded the request here to be run.
// That instance already ensures that a request with an idempotency key runs at most once.
func (px *Proxy) authorizedToRun(r *http.Request, s Service) bool {
	code := r.Header.Get(headerRunCode)
	return code != "" && px.signer.Verify(runAuthorizationText(s, r), code)
}

// runAuthorizationText returns the text that the Almondpick-Run header signs.
func runAuthorizationText(s Service, r *http.Request) string {
	return "run " + s.Name + " " + r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get(HeaderTicket)
}

// dispatchRequest runs a request through the instance that dispatches for the service's
// pool, or on this instance if that is the one or the other cannot be reached.
func (px *Proxy) dispatchRequest(w http.ResponseWriter, r *http.Request, s Service) {
	deadline, err := px.requestDeadline(r)
	if err != nil {
		err.writeTo(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline-px.now())
	defer cancel()
	r = r.WithContext(ctx)
	v := px.view.Load()
	if i := ranker.Best(ranker.Hash(poolName(s.Jobs)), v.peerHashes); i >= 0 && v.Peers[i].Name != px.instance && !px.authorizedToRun(r, s) {
		px.forwardToDispatcher(w, r, s, v.Peers[i], deadline)
		return
	}
	px.dispatchLocally(w, r, s, deadline)
}

// requestDeadline returns the deadline of a request, as a time since startedAt. The timeout
// is that of the Almondpick-Timeout header, or maxCallerTimeout without the header.
func (px *Proxy) requestDeadline(r *http.Request) (time.Duration, *Problem) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return px.now() + maxCallerTimeout, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > maxCallerTimeout.Seconds() {
		return 0, badTimeout(text)
	}
	return px.now() + time.Duration(seconds*float64(time.Second)), nil
}

// dispatchLocally runs the request on a target, with a slot from the pools of this instance.
func (px *Proxy) dispatchLocally(w http.ResponseWriter, r *http.Request, s Service, deadline time.Duration) {
	call := targetCall{service: s, idempotent: isIdempotent(r, s), slotDeadline: min(deadline, px.now()+s.SlotWaitTimeout)}
	r = r.WithContext(context.WithValue(r.Context(), targetCallKey{}, call))
	reverseProxy := &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.Host = p.In.Host
			p.Out.URL.Scheme = "http"
			p.Out.URL.Host = "target"
			removeInternalHeaders(p.Out.Header)
		},
		Transport:    targetRoundTripper{proxy: px},
		ErrorHandler: px.writeError,
		ErrorLog:     px.httpServer.ErrorLog,
	}
	reverseProxy.ServeHTTP(w, r)
}

// removeInternalHeaders removes the headers that are only for other instances. It also
// removes Idempotency-Key, because net/http retries requests with that header by itself.
func removeInternalHeaders(h http.Header) {
	h.Del(headerHops)
	h.Del(headerRunCode)
	h.Del(HeaderIdempotencyKey)
}

func isIdempotent(r *http.Request, s Service) bool {
	return isSafeMethod(r.Method) || slices.Contains(s.IdempotentMethods, r.Method)
}

// isSafeMethod reports whether the method is defined as read-only.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// writeError sends the problem for err. After a cancellation by the caller the response
// has no body.
func (px *Proxy) writeError(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, context.Canceled) {
		w.Header().Set(HeaderOutcome, string(OutcomeUnknown))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	p := asProblem(err)
	px.log.Debug("request-failed", "host", r.Host, "problem", p.Type, "outcome", p.Outcome, "error", err)
	p.writeTo(w)
}

// forwardToDispatcher forwards the request to the instance that dispatches for its pool. If
// that instance certainly did not receive the request, this one dispatches instead.
func (px *Proxy) forwardToDispatcher(w http.ResponseWriter, r *http.Request, s Service, p Peer, deadline time.Duration) {
	forwarded := r.Clone(r.Context())
	forwarded.Header.Set(headerRunCode, px.signer.Sign(runAuthorizationText(s, r)))
	setTimeoutHeader(forwarded, deadline-px.now())
	px.forwardToPeer(w, forwarded, p.RequestAddress, func(w http.ResponseWriter, in *http.Request, err error) {
		var failure *Problem
		if errors.As(err, &failure) && failure.Outcome == OutcomeNotRun && in.Context().Err() == nil {
			px.dispatchLocally(w, r, s, deadline)
			return
		}
		px.writeError(w, in, err)
	})
}

// forwardToPeer forwards a request to the Proxy of another instance. onError handles a
// failed attempt.
func (px *Proxy) forwardToPeer(w http.ResponseWriter, r *http.Request, address string, onError func(http.ResponseWriter, *http.Request, error)) {
	nextHopCount := strconv.Itoa(hopCount(r) + 1)
	reverseProxy := &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.Host = p.In.Host
			p.Out.URL = &url.URL{Scheme: "http", Host: address, Path: p.In.URL.Path, RawPath: p.In.URL.RawPath, RawQuery: p.In.URL.RawQuery}
			p.Out.Header.Set(headerHops, nextHopCount)
			p.Out.Header.Del(HeaderIdempotencyKey)
		},
		Transport:    peerRoundTripper{px.peerTransports},
		ErrorHandler: onError,
		ErrorLog:     px.httpServer.ErrorLog,
	}
	reverseProxy.ServeHTTP(w, r)
}
