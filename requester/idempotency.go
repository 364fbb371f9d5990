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

// IdempotencyKeyResponse is the body of the response to POST /v1/tickets.
type IdempotencyKeyResponse struct {
	Key string `json:"ticket"`
}

// serveIssueKey serves POST /v1/tickets, which issues an idempotency key. After a handover
// the request is forwarded to the successor.
func (px *Proxy) serveIssueKey(w http.ResponseWriter, r *http.Request) {
	keyText, ok := px.issueKey()
	if !ok {
		px.forwardToPeer(w, r, *px.successorAddress.Load(), px.writeError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(OutcomeRan))
	w.WriteHeader(http.StatusCreated)
	// The caller may have disconnected; an unused key has no effect.
	_ = json.NewEncoder(w).Encode(IdempotencyKeyResponse{Key: keyText})
}

// issueKey returns a new key, or false if the key tables have been handed over. The call
// blocks while keyedPaused is set.
func (px *Proxy) issueKey() (string, bool) {
	px.keyMu.Lock()
	defer px.keyMu.Unlock()
	for px.keyedPaused {
		px.keyedResumed.Wait()
	}
	table := px.keyTables[px.issuerID]
	if table == nil {
		return "", false
	}
	sequence := table.Issue(px.now())
	return px.signer.FormatKey(issuer.IdempotencyKey{Instance: px.instance, Incarnation: px.incarnation, Sequence: sequence}), true
}

// beginKeyed calls Begin on the key table of the key's issuer. The last result is false if
// this instance does not hold that table. The call blocks while keyedPaused is set.
func (px *Proxy) beginKeyed(key issuer.IdempotencyKey, fingerprint string) (issuer.Decision, issuer.Entry, bool) {
	px.keyMu.Lock()
	defer px.keyMu.Unlock()
	for px.keyedPaused {
		px.keyedResumed.Wait()
	}
	table := px.keyTables[key.IssuerID()]
	if table == nil {
		return issuer.DecisionExpired, issuer.Entry{}, false
	}
	decision, entry := table.Begin(px.now(), key.Sequence, fingerprint)
	if entry == nil {
		return decision, issuer.Entry{}, true
	}
	if decision == issuer.DecisionRun {
		px.runningKeyed++
	}
	return decision, *entry, true
}

// finishKeyed calls Finish on the key table, if this instance still holds the table.
func (px *Proxy) finishKeyed(key issuer.IdempotencyKey, state issuer.RequestState, response issuer.Response) {
	px.keyMu.Lock()
	defer px.keyMu.Unlock()
	px.runningKeyed--
	if table := px.keyTables[key.IssuerID()]; table != nil {
		table.Finish(px.now(), key.Sequence, state, response)
	}
}

// serveKeyed serves a request with an idempotency key, which runs at most once. The
// fingerprint consists of the service, the method and the URI; the body does not count.
func (px *Proxy) serveKeyed(w http.ResponseWriter, r *http.Request, s Service, keyText string) {
	key, err := px.signer.ParseKey(keyText)
	if err != nil {
		badTicket(err).writeTo(w)
		return
	}
	fingerprint := s.Name + " " + r.Method + " " + r.URL.RequestURI()
	for {
		decision, entry, tableHeld := px.beginKeyed(key, fingerprint)
		if !tableHeld {
			px.forwardToIssuer(w, r, key, keyText)
			return
		}
		if decision != issuer.DecisionWait {
			px.applyDecision(w, r, s, key, decision, entry)
			return
		}
		select {
		case <-entry.Done:
		case <-r.Context().Done():
			return
		}
	}
}

// applyDecision handles the request as the key table decided.
func (px *Proxy) applyDecision(w http.ResponseWriter, r *http.Request, s Service, key issuer.IdempotencyKey, decision issuer.Decision, entry issuer.Entry) {
	switch decision {
	case issuer.DecisionRun:
		px.runOnce(w, r, s, key)
	case issuer.DecisionReplay:
		replayResponse(w, entry.Response)
	case issuer.DecisionUnknown:
		issuerLost().writeTo(w)
	case issuer.DecisionMismatch:
		ticketReused().writeTo(w)
	default:
		ticketExpired().writeTo(w)
	}
}

// runOnce runs the request of a key and records its outcome. The request continues if the
// caller disconnects: a caller that sends the request again with the key gets the response.
func (px *Proxy) runOnce(w http.ResponseWriter, r *http.Request, s Service, key issuer.IdempotencyKey) {
	buffer := &responseBuffer{header: make(http.Header), client: w}
	ctx := context.WithoutCancel(r.Context())
	body := http.MaxBytesReader(w, r.Body, px.maxBodySize)
	request := r.WithContext(ctx)
	request.Body = body
	state := issuer.StateUnknown
	defer func() {
		// httputil.ReverseProxy panics when the target's response is truncated: the
		// outcome of the request is then unknown.
		panicValue := recover()
		if panicValue != nil {
			state = issuer.StateUnknown
		}
		px.finishKeyed(key, state, buffer.response())
		switch {
		case panicValue != nil && buffer.streaming:
			panic(http.ErrAbortHandler) // truncates the response to the caller as well
		case panicValue != nil:
			issuerLost().writeTo(w)
		default:
			buffer.flushTo(w)
		}
	}()
	request.Header.Set(HeaderTicket, px.signer.FormatKey(key))
	px.dispatchRequest(buffer, request, s)
	switch Outcome(buffer.header.Get(HeaderOutcome)) {
	case OutcomeRan:
		state = issuer.StateRan
	case OutcomeNotRun:
		state = issuer.StateIssued
	case OutcomeUnknown:
	}
}

// forwardToIssuer forwards the request to the process that issued the key, or to the
// successor that holds its key table.
func (px *Proxy) forwardToIssuer(w http.ResponseWriter, r *http.Request, key issuer.IdempotencyKey, keyText string) {
	v := px.view.Load()
	address, ok := v.issuerAddresses[key.IssuerID()]
	if successor := px.successorAddress.Load(); successor != nil {
		address, ok = *successor, true
	}
	if !ok || address == v.RequestAddress {
		issuerLost().writeTo(w)
		return
	}
	forwarded := r.Clone(r.Context())
	forwarded.Header.Set(HeaderTicket, keyText)
	px.forwardToPeer(w, forwarded, address, func(w http.ResponseWriter, _ *http.Request, err error) {
		cause := asProblem(err)
		problem := issuerLost()
		problem.cause = cause
		problem.writeTo(w)
	})
}

// replayResponse sends the retained response of an earlier run, or the problem
// "answer-not-kept".
func replayResponse(w http.ResponseWriter, response issuer.Response) {
	if !response.Retained {
		answerNotKept(response.StatusCode).writeTo(w)
		return
	}
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(response.Header))).ReadMIMEHeader()
	if err != nil {
		answerNotKept(response.StatusCode).writeTo(w)
		return
	}
	buffer := &responseBuffer{header: http.Header(header), statusCode: response.StatusCode}
	buffer.body.Write(response.Body)
	buffer.flushTo(w)
}

// responseBuffer is an http.ResponseWriter that holds a response back until it is complete.
// A body longer than issuer.MaxRetainedBody is streamed to the client and not retained.
type responseBuffer struct {
	header     http.Header
	statusCode int
	body       bytes.Buffer
	client     http.ResponseWriter
	streaming  bool
}

// Header implements http.ResponseWriter.
func (r *responseBuffer) Header() http.Header {
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *responseBuffer) WriteHeader(status int) {
	if status >= 200 && r.statusCode == 0 {
		r.statusCode = status
	}
}

// Write implements http.ResponseWriter. No error is ever returned, so that the request
// continues when the caller has disconnected.
func (r *responseBuffer) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.streaming {
		_, _ = r.client.Write(b)
		return len(b), nil
	}
	r.body.Write(b)
	if r.body.Len() > issuer.MaxRetainedBody {
		r.flushTo(r.client)
		r.streaming = true
		r.body = bytes.Buffer{}
	}
	return len(b), nil
}

// response returns the response for callers that send the request again.
func (r *responseBuffer) response() issuer.Response {
	if r.streaming {
		return issuer.Response{StatusCode: r.statusCode}
	}
	var header bytes.Buffer
	// Writing to a bytes.Buffer does not fail.
	_ = r.header.Write(&header)
	header.WriteString("\r\n")
	return issuer.Response{StatusCode: r.statusCode, Header: header.Bytes(), Body: r.body.Bytes(), Retained: true}
}

// flushTo sends the buffered response, unless it has been streamed.
func (r *responseBuffer) flushTo(w http.ResponseWriter) {
	if r.streaming {
		return
	}
	for k, v := range r.header {
		w.Header()[k] = v
	}
	if r.statusCode == 0 {
		r.statusCode = http.StatusOK
	}
	w.WriteHeader(r.statusCode)
	// The caller may have disconnected; the response is retained for another attempt.
	_, _ = w.Write(r.body.Bytes())
}

// requestKey returns the text form of the idempotency key of a request, or "". Callers send
// Idempotency-Key; other instances forward the key as Almondpick-Ticket.
func requestKey(r *http.Request) string {
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" {
		return strings.Trim(key, `"`)
	}
	return r.Header.Get(HeaderTicket)
}

// now returns the time since startedAt.
func (px *Proxy) now() time.Duration {
	return px.clock.Now().Sub(px.startedAt)
}
