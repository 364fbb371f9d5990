// Package requester is the request door: HTTP for callers who want an outcome for
// one request. It finds the service by the name the caller used, runs the request
// on a slot of one of its targets, and tells what became of it.
package requester

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"

	"almondpick/dispatcher"
	"almondpick/issuer"
	"almondpick/ranker"
)

// Limits of the door.
const (
	DefaultWorkers = 4096
	DefaultMaxBody = 64 << 20 // bytes
	headerBytes    = 64 << 10
	headerTime     = 10 * time.Second
	idleTime       = 2 * time.Minute
	dialTime       = time.Second
	expireEvery    = 50 * time.Millisecond
	maxTimeout     = time.Hour
	maxHops        = 3
)

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Service is a service as the door sees it.
type Service struct {
	Name              string
	HostNames         []string
	Jobs              []string
	Tenant            string
	Class             string
	IdempotentMethods []string
	MaxWait           time.Duration
}

// Target is a target that takes requests.
type Target struct {
	dispatcher.Target
	Job            string
	RequestAddress netip.AddrPort
}

// Peer is an instance that owns pools.
type Peer struct {
	Name           string
	RequestAddress string
}

// View is an immutable snapshot of what the door decides by.
type View struct {
	RequestAddress  string // address of this instance's door, as others know it
	Services        []Service
	Targets         []Target
	Peers           []Peer            // serving instances, this one included if it serves
	IssuerAddresses map[string]string // door of who holds the tickets of an issuing process
}

// compiled is a view with its look-up tables.
type compiled struct {
	View
	byName  map[string]Service
	targets map[string]Target
	ids     []uint64
	issuers map[string]string
}

// Observer is told about every request; metrics are made from it.
type Observer interface {
	Request(tenant, class string, o Outcome, took time.Duration)
	Waited(tenant, class string, d time.Duration)
}

type noObserver struct{}

func (noObserver) Request(string, string, Outcome, time.Duration) {}

func (noObserver) Waited(string, string, time.Duration) {}

// Door is the request door of one instance.
type Proxy struct {
	name        string
	incarnation uint64
	owner       string
	clock       Clock
	start       time.Time
	signer      issuer.Signer
	log         *slog.Logger
	observer    Observer
	workers     int
	maxBody     int64

	view      atomic.Pointer[compiled]
	pools     *pools
	targets   *http.Transport
	peers     *peerTransports
	pool      *ants.Pool
	server    *http.Server
	ticketMu  sync.Mutex
	tables    map[string]*issuer.KeyTable
	running   int  // work with tickets
	frozen    bool // while the tables are handed over
	thawed    *sync.Cond
	staged    []staged // handovers from others that are not finished
	handovers int      // of this door, begun
	successor atomic.Pointer[string]
	leaving   atomic.Bool
	lastWork  atomic.Int64 // when a connection was last opened or a request begun, after start
	done      chan struct{}
	loops     sync.WaitGroup
}

// Option sets a property of a new Door.
type Option func(*Proxy)

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option {
	return func(d *Proxy) { d.log = l }
}

// WithObserver sets who is told about requests.
func WithObserver(o Observer) Option {
	return func(d *Proxy) { d.observer = o }
}

// WithWorkers sets how many requests are served at a time.
func WithWorkers(n int) Option {
	return func(d *Proxy) { d.workers = n }
}

// WithMaxBody sets the largest request body, in bytes.
func WithMaxBody(n int64) Option {
	return func(d *Proxy) { d.maxBody = n }
}

// New starts the request door of an instance on a listener, which it closes in the
// end. The signer is the same for all instances of the group.
func New(name string, incarnation uint64, l net.Listener, clock Clock, signer issuer.Signer, opts ...Option) (*Proxy, error) {
	d := &Proxy{
		name:        name,
		incarnation: incarnation,
		owner:       issuer.IdempotencyKey{Instance: name, Incarnation: incarnation}.IssuerID(),
		clock:       clock,
		start:       clock.Now(),
		signer:      signer,
		log:         slog.New(slog.DiscardHandler),
		observer:    noObserver{},
		workers:     DefaultWorkers,
		maxBody:     DefaultMaxBody,
		tables:      make(map[string]*issuer.KeyTable),
		done:        make(chan struct{}),
		targets:     newTargetTransport(),
		peers:       newPeerTransports(),
	}
	for _, o := range opts {
		o(d)
	}
	d.pools = newPools(d.now)
	d.thawed = sync.NewCond(&d.ticketMu)
	d.tables[d.owner] = issuer.NewKeyTable()
	d.view.Store(compile(View{}))
	pool, err := ants.NewPool(d.workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, eris.Wrap(err, "make pool")
	}
	d.pool = pool
	d.server = &http.Server{
		Handler:           http.HandlerFunc(d.accept),
		ConnState:         d.noteConn,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	d.loops.Add(2)
	go d.serve(l)
	go d.expire()
	return d, nil
}

func (d *Proxy) serve(l net.Listener) {
	defer d.loops.Done()
	if err := d.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("request-door-failed", "error", err)
	}
}

// expire ends the waiting of work whose time is up. It sleeps while none waits.
func (d *Proxy) expire() {
	defer d.loops.Done()
	for {
		select {
		case <-d.done:
			return
		case <-d.pools.roused:
		}
		if !d.expireAll() {
			return
		}
	}
}

// expireAll looks at the work that waits until none does. It is false when the door has
// closed.
func (d *Proxy) expireAll() bool {
	ticks, stop := d.clock.Ticker(expireEvery)
	defer stop()
	for {
		select {
		case <-d.done:
			return false
		case <-ticks:
		}
		if !d.pools.expire() {
			return true
		}
	}
}

// Close cuts what is still in progress and waits for the goroutines of the door.
func (d *Proxy) Close() error {
	err := d.server.Close()
	close(d.done)
	d.loops.Wait()
	d.peers.kept.CloseIdleConnections()
	d.pool.Release()
	return err
}

// Owner returns the name of this issuing process.
func (d *Proxy) IssuerID() string {
	return d.owner
}

// Waiting returns how many requests wait in each pool.
func (d *Proxy) QueuedRequests() map[string]int {
	return d.pools.waitingWork()
}

// SetView puts a new view into use.
func (d *Proxy) SetView(v View) {
	c := compile(v)
	d.view.Store(c)
	byPool := make(map[string][]dispatcher.Target)
	for _, s := range v.Services {
		name := poolName(s.Jobs)
		if _, ok := byPool[name]; ok {
			continue
		}
		byPool[name] = []dispatcher.Target{}
		for _, t := range v.Targets {
			if slices.Contains(s.Jobs, t.Job) {
				byPool[name] = append(byPool[name], t.Target)
			}
		}
	}
	d.pools.set(byPool)
}

func compile(v View) *compiled {
	c := &compiled{View: v, byName: make(map[string]Service), targets: make(map[string]Target), issuers: v.IssuerAddresses}
	for _, s := range v.Services {
		for _, n := range s.HostNames {
			c.byName[strings.ToLower(n)] = s
		}
	}
	for _, t := range v.Targets {
		c.targets[t.Name] = t
	}
	for _, p := range v.Peers {
		c.ids = append(c.ids, ranker.Hash(p.Name))
	}
	return c
}

// accept runs a request on a worker of the pool. The proxy cuts an answer that it
// cannot complete by a panic, which has to come from the goroutine of the server.
func (d *Proxy) accept(w http.ResponseWriter, r *http.Request) {
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	finished := make(chan any, 1)
	err := d.pool.Submit(func() {
		defer func() { finished <- recover() }()
		d.handle(w, r)
	})
	if err != nil {
		poolFull().write(w)
		return
	}
	if cut := <-finished; cut != nil {
		panic(cut)
	}
}

func (d *Proxy) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/tickets" && r.Method == http.MethodPost && hops(r) <= maxHops {
		d.ticket(w, r)
		return
	}
	s, ok := d.view.Load().byName[nameOf(r.Host)]
	switch {
	case !ok:
		unknownName(r.Host).write(w)
	case hops(r) > maxHops:
		tooManyHops().write(w)
	case r.Header.Get("Upgrade") != "":
		upgradeRefused().write(w)
	case r.ContentLength > d.maxBody:
		tooLarge().write(w)
	default:
		d.measured(w, r, s)
	}
}

func nameOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func hops(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(headerHops))
	if err != nil {
		return 0
	}
	return n
}

// measured serves a request and tells the observer.
func (d *Proxy) measured(w http.ResponseWriter, r *http.Request, s Service) {
	begun := d.clock.Now()
	direct := hops(r) == 0
	defer func() {
		if direct {
			o := Outcome(w.Header().Get(HeaderOutcome))
			d.observer.Request(s.Tenant, s.Class, o, d.clock.Now().Sub(begun))
		}
	}()
	ticket := ticketOf(r)
	if ticket == "" || d.mayRun(r, s) {
		r.Body = http.MaxBytesReader(w, r.Body, d.maxBody)
		d.execute(w, r, s)
		return
	}
	d.withTicket(w, r, s, ticket)
}

// mayRun tells whether another instance, which has seen to it that the work runs
// once, passed the request here to be run.
func (d *Proxy) mayRun(r *http.Request, s Service) bool {
	code := r.Header.Get(headerRun)
	return code != "" && d.signer.Verify(runText(s, r), code)
}

func runText(s Service, r *http.Request) string {
	return "run " + s.Name + " " + r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get(HeaderTicket)
}

// execute runs a request: on the instance that dispatches for the service's pool,
// or here when that is this one or cannot be reached.
func (d *Proxy) execute(w http.ResponseWriter, r *http.Request, s Service) {
	deadline, err := d.deadline(r)
	if err != nil {
		err.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline-d.now())
	defer cancel()
	r = r.WithContext(ctx)
	v := d.view.Load()
	if i := ranker.Best(ranker.Hash(poolName(s.Jobs)), v.ids); i >= 0 && v.Peers[i].Name != d.name && !d.mayRun(r, s) {
		d.toDispatcher(w, r, s, v.Peers[i], deadline)
		return
	}
	d.here(w, r, s, deadline)
}

// deadline returns when the caller stops waiting.
func (d *Proxy) deadline(r *http.Request) (time.Duration, *Problem) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return d.now() + maxTimeout, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
		return 0, badTimeout(text)
	}
	return d.now() + time.Duration(seconds*float64(time.Second)), nil
}

// here runs the request on a target, through the pool of this instance.
func (d *Proxy) here(w http.ResponseWriter, r *http.Request, s Service, deadline time.Duration) {
	c := call{service: s, repeatable: repeatable(r, s), deadline: min(deadline, d.now()+s.MaxWait)}
	r = r.WithContext(context.WithValue(r.Context(), callKey{}, c))
	proxy := &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.Host = p.In.Host
			p.Out.URL.Scheme = "http"
			p.Out.URL.Host = "target"
			clean(p.Out.Header)
		},
		Transport:    dispatchTransport{door: d},
		ErrorHandler: d.failed,
		ErrorLog:     d.server.ErrorLog,
	}
	proxy.ServeHTTP(w, r)
}

// clean drops what is between instances. The Idempotency-Key goes as well: with it
// the HTTP client would send a request again on its own.
func clean(h http.Header) {
	h.Del(headerHops)
	h.Del(headerRun)
	h.Del(HeaderIdempotencyKey)
}

func repeatable(r *http.Request, s Service) bool {
	return safe(r.Method) || slices.Contains(s.IdempotentMethods, r.Method)
}

// safe tells whether requests of the method ask for nothing to be changed.
func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (d *Proxy) failed(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, context.Canceled) {
		w.Header().Set(HeaderOutcome, string(OutcomeUnknown))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	p := asProblem(err)
	d.log.Debug("request-failed", "host", r.Host, "problem", p.Type, "outcome", p.Outcome, "error", err)
	p.write(w)
}

// toDispatcher passes the request to the instance that dispatches for its pool. One
// that provably was not reached is replaced by this instance.
func (d *Proxy) toDispatcher(w http.ResponseWriter, r *http.Request, s Service, p Peer, deadline time.Duration) {
	out := r.Clone(r.Context())
	out.Header.Set(headerRun, d.signer.Sign(runText(s, r)))
	setTimeout(out, deadline-d.now())
	d.toPeer(w, out, p.RequestAddress, func(w http.ResponseWriter, in *http.Request, err error) {
		var reached *Problem
		if errors.As(err, &reached) && reached.Outcome == OutcomeNotRun && in.Context().Err() == nil {
			d.here(w, r, s, deadline)
			return
		}
		d.failed(w, in, err)
	})
}

// toPeer passes a request to the door of another instance.
func (d *Proxy) toPeer(w http.ResponseWriter, r *http.Request, to string, failed func(http.ResponseWriter, *http.Request, error)) {
	next := strconv.Itoa(hops(r) + 1)
	proxy := &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.Host = p.In.Host
			p.Out.URL = &url.URL{Scheme: "http", Host: to, Path: p.In.URL.Path, RawPath: p.In.URL.RawPath, RawQuery: p.In.URL.RawQuery}
			p.Out.Header.Set(headerHops, next)
			p.Out.Header.Del(HeaderIdempotencyKey)
		},
		Transport:    peerTransport{d.peers},
		ErrorHandler: failed,
		ErrorLog:     d.server.ErrorLog,
	}
	proxy.ServeHTTP(w, r)
}
