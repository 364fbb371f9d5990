package loader

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"almondpick/requester"
)

// RequestSettings describe the requests that stand-in callers send.
type RequestGeneratorSettings struct {
	HostNames         []string // names that callers use
	RequestsPerSecond float64  // a second
	ResendShare       float64  // share of forms that are sent twice, through two instances
}

// Requests sends requests to the request doors: pages to read, and forms that may
// run once, each with a ticket.
type RequestGenerator struct {
	set    RequestGeneratorSettings
	clock  Clock
	ledger *Collector
	fabric *Fabric
	client *http.Client
	done   chan struct{}
	loops  sync.WaitGroup
	number int
}

const (
	noOutcome      = "none"
	requestTimeout = 20 * time.Second
	requestTick    = 10 * time.Millisecond
	ticketTries    = 20
)

// NewRequests starts to send requests.
func StartRequestGenerator(set RequestGeneratorSettings, clock Clock, ledger *Collector, fabric *Fabric) *RequestGenerator {
	r := &RequestGenerator{
		set: set, clock: clock, ledger: ledger, fabric: fabric, done: make(chan struct{}),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	r.loops.Add(1)
	go r.run()
	return r
}

// Close stops sending and waits for the answers.
func (r *RequestGenerator) Close() error {
	close(r.done)
	r.loops.Wait()
	r.client.CloseIdleConnections()
	return nil
}

func (r *RequestGenerator) run() {
	defer r.loops.Done()
	ticks, stop := r.clock.Ticker(requestTick)
	defer stop()
	credit := 0.0
	for {
		select {
		case <-r.done:
			return
		case <-ticks:
		}
		for credit += r.set.RequestsPerSecond * requestTick.Seconds(); credit >= 1; credit-- {
			r.number++
			id := "r" + strconv.Itoa(r.number)
			service := r.set.HostNames[r.number%len(r.set.HostNames)]
			r.loops.Add(1)
			if r.number%2 == 0 {
				go r.page(id, service)
			} else {
				go r.form(id, service)
			}
		}
	}
}

// door returns the request door of some instance that is ready.
func (r *RequestGenerator) door() (string, bool) {
	list := r.fabric.ReadyInstances()
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))].RequestAddress, true
}

func (r *RequestGenerator) page(id, service string) {
	defer r.loops.Done()
	r.send(http.MethodGet, id, service, "", "")
}

// form sends a form with a ticket. Where the answer leaves the outcome open, or for
// a share of the forms anyway, it sends it again through another instance.
func (r *RequestGenerator) form(id, service string) {
	defer r.loops.Done()
	ticket, ok := r.ticket()
	if !ok {
		return
	}
	outcome := r.send(http.MethodPost, id, service, ticket, "form "+id)
	if outcome == noOutcome || rand.Float64() < r.set.ResendShare {
		r.send(http.MethodPost, id, service, ticket, "form "+id)
	}
}

func (r *RequestGenerator) ticket() (string, bool) {
	for range ticketTries {
		at, ok := r.door()
		if !ok {
			return "", false
		}
		response, err := r.client.Post("http://"+at+"/v1/tickets", "", nil)
		if err != nil {
			continue
		}
		var t requester.IdempotencyKeyResponse
		err = json.NewDecoder(response.Body).Decode(&t)
		response.Body.Close()
		if err == nil && t.Key != "" {
			return t.Key, true
		}
	}
	return "", false
}

// send sends one request and checks the answer. It returns the outcome it was told,
// or noOutcome when no answer came.
func (r *RequestGenerator) send(method, id, service, ticket, body string) string {
	at, ok := r.door()
	if !ok {
		return noOutcome
	}
	request, err := http.NewRequest(method, "http://"+at+"/cards", strings.NewReader(body))
	if err != nil {
		return noOutcome
	}
	request.Host = service
	request.Header.Set(HeaderRequestID, id)
	if ticket != "" {
		request.Header.Set(requester.HeaderIdempotencyKey, ticket)
	}
	begun := r.clock.Now()
	response, err := r.client.Do(request)
	if err != nil {
		r.ledger.answered(id, noOutcome, true, r.clock.Now().Sub(begun))
		return noOutcome
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	outcome := response.Header.Get(requester.HeaderOutcome)
	if outcome == "" {
		outcome = noOutcome
	}
	whole := true
	if err == nil && response.StatusCode == http.StatusOK {
		whole = string(b) == id+" "+strconv.Itoa(len(body))
	}
	r.ledger.answered(id, outcome, whole, r.clock.Now().Sub(begun))
	return outcome
}
