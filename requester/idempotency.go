package requester

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"almondpick/issuer"
)

// TicketAnswer is the body of the answer to POST /v1/tickets.
type IdempotencyKeyResponse struct {
	Key string `json:"ticket"`
}

// ticket answers a request for a ticket. After a handover the successor issues it.
func (d *Proxy) ticket(w http.ResponseWriter, r *http.Request) {
	text, ok := d.issue()
	if !ok {
		d.toPeer(w, r, *d.successor.Load(), d.failed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(OutcomeRan))
	w.WriteHeader(http.StatusCreated)
	// The caller may be gone; an unused ticket does no harm.
	_ = json.NewEncoder(w).Encode(IdempotencyKeyResponse{Key: text})
}

func (d *Proxy) issue() (string, bool) {
	d.ticketMu.Lock()
	defer d.ticketMu.Unlock()
	for d.frozen {
		d.thawed.Wait()
	}
	table := d.tables[d.owner]
	if table == nil {
		return "", false
	}
	n := table.Issue(d.now())
	return d.signer.FormatKey(issuer.IdempotencyKey{Instance: d.name, Incarnation: d.incarnation, Sequence: n}), true
}

// begin asks the table of the ticket's issuer. ok is false when this instance does
// not hold that table.
func (d *Proxy) begin(t issuer.IdempotencyKey, fingerprint string) (issuer.Decision, issuer.Entry, bool) {
	d.ticketMu.Lock()
	defer d.ticketMu.Unlock()
	for d.frozen {
		d.thawed.Wait()
	}
	table := d.tables[t.IssuerID()]
	if table == nil {
		return issuer.DecisionExpired, issuer.Entry{}, false
	}
	verdict, e := table.Begin(d.now(), t.Sequence, fingerprint)
	if e == nil {
		return verdict, issuer.Entry{}, true
	}
	if verdict == issuer.DecisionRun {
		d.running++
	}
	return verdict, *e, true
}

func (d *Proxy) finish(t issuer.IdempotencyKey, s issuer.RequestState, a issuer.Response) {
	d.ticketMu.Lock()
	defer d.ticketMu.Unlock()
	d.running--
	if table := d.tables[t.IssuerID()]; table != nil {
		table.Finish(d.now(), t.Sequence, s, a)
	}
}

// withTicket serves a request that may run at most once.
func (d *Proxy) withTicket(w http.ResponseWriter, r *http.Request, s Service, text string) {
	t, err := d.signer.ParseKey(text)
	if err != nil {
		badTicket(err).write(w)
		return
	}
	fingerprint := s.Name + " " + r.Method + " " + r.URL.RequestURI()
	for {
		verdict, entry, mine := d.begin(t, fingerprint)
		if !mine {
			d.toIssuer(w, r, t, text)
			return
		}
		if verdict != issuer.DecisionWait {
			d.settle(w, r, s, t, verdict, entry)
			return
		}
		select {
		case <-entry.Done:
		case <-r.Context().Done():
			return
		}
	}
}

// settle answers by what the table said.
func (d *Proxy) settle(w http.ResponseWriter, r *http.Request, s Service, t issuer.IdempotencyKey, v issuer.Decision, e issuer.Entry) {
	switch v {
	case issuer.DecisionRun:
		d.runOnce(w, r, s, t)
	case issuer.DecisionReplay:
		replayAnswer(w, e.Response)
	case issuer.DecisionUnknown:
		issuerLost().write(w)
	case issuer.DecisionMismatch:
		ticketReused().write(w)
	default:
		ticketExpired().write(w)
	}
}

// runOnce runs the work of a ticket. It goes on when the caller goes away: a caller
// that comes back with the ticket gets the answer.
func (d *Proxy) runOnce(w http.ResponseWriter, r *http.Request, s Service, t issuer.IdempotencyKey) {
	rec := &recorder{header: make(http.Header), to: w}
	ctx := context.WithoutCancel(r.Context())
	body := http.MaxBytesReader(w, r.Body, d.maxBody)
	request := r.WithContext(ctx)
	request.Body = body
	state := issuer.StateUnknown
	defer func() {
		// A panic of the proxy means that the answer was cut: what the target did
		// is not known.
		cut := recover()
		if cut != nil {
			state = issuer.StateUnknown
		}
		d.finish(t, state, rec.answer())
		switch {
		case cut != nil && rec.spilled:
			panic(http.ErrAbortHandler) // cuts the answer to the caller as well
		case cut != nil:
			issuerLost().write(w)
		default:
			rec.copyTo(w)
		}
	}()
	request.Header.Set(HeaderTicket, d.signer.FormatKey(t))
	d.execute(rec, request, s)
	switch Outcome(rec.header.Get(HeaderOutcome)) {
	case OutcomeRan:
		state = issuer.StateRan
	case OutcomeNotRun:
		state = issuer.StateIssued
	case OutcomeUnknown:
	}
}

// toIssuer passes the request to the process that issued the ticket, or to the one
// that has taken over its table.
func (d *Proxy) toIssuer(w http.ResponseWriter, r *http.Request, t issuer.IdempotencyKey, text string) {
	v := d.view.Load()
	to, ok := v.issuers[t.IssuerID()]
	if next := d.successor.Load(); next != nil {
		to, ok = *next, true
	}
	if !ok || to == v.RequestAddress {
		issuerLost().write(w)
		return
	}
	out := r.Clone(r.Context())
	out.Header.Set(HeaderTicket, text)
	d.toPeer(w, out, to, func(w http.ResponseWriter, _ *http.Request, err error) {
		p := asProblem(err)
		lost := issuerLost()
		lost.cause = p
		lost.write(w)
	})
}

func replayAnswer(w http.ResponseWriter, a issuer.Response) {
	if !a.Retained {
		answerNotKept(a.StatusCode).write(w)
		return
	}
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(a.Header))).ReadMIMEHeader()
	if err != nil {
		answerNotKept(a.StatusCode).write(w)
		return
	}
	rec := &recorder{header: http.Header(header), status: a.StatusCode}
	rec.body.Write(a.Body)
	rec.copyTo(w)
}

// recorder keeps an answer until it is whole. One that grows beyond the limit is
// passed on as it comes and not kept.
type recorder struct {
	header  http.Header
	status  int
	body    bytes.Buffer
	to      http.ResponseWriter
	spilled bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header {
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if status >= 200 && r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter. It never fails: the work goes on when the
// caller has gone.
func (r *recorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.spilled {
		_, _ = r.to.Write(b)
		return len(b), nil
	}
	r.body.Write(b)
	if r.body.Len() > issuer.MaxRetainedBody {
		r.copyTo(r.to)
		r.spilled = true
		r.body = bytes.Buffer{}
	}
	return len(b), nil
}

// answer returns what a resend will get.
func (r *recorder) answer() issuer.Response {
	if r.spilled {
		return issuer.Response{StatusCode: r.status}
	}
	var head bytes.Buffer
	// Writing to a buffer does not fail.
	_ = r.header.Write(&head)
	head.WriteString("\r\n")
	return issuer.Response{StatusCode: r.status, Header: head.Bytes(), Body: r.body.Bytes(), Retained: true}
}

// copyTo sends what was kept, unless it was passed on already.
func (r *recorder) copyTo(w http.ResponseWriter) {
	if r.spilled {
		return
	}
	for k, v := range r.header {
		w.Header()[k] = v
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	w.WriteHeader(r.status)
	// The caller may be gone; the answer is kept for its resend.
	_, _ = w.Write(r.body.Bytes())
}

// ticketOf returns the ticket that a request carries, or "".
func ticketOf(r *http.Request) string {
	if t := r.Header.Get(HeaderIdempotencyKey); t != "" {
		return strings.Trim(t, `"`)
	}
	return r.Header.Get(HeaderTicket)
}

func (d *Proxy) now() time.Duration {
	return d.clock.Now().Sub(d.start)
}
