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

// RequestGeneratorSettings are the settings of a RequestGenerator.
type RequestGeneratorSettings struct {
	HostNames         []string // of the services
	RequestsPerSecond float64
	ResendShare       float64 // share of POST requests that are sent twice although the first got an outcome
}

// RequestGenerator simulates callers that send HTTP requests to the request addresses of
// instances: GET requests, and as many POST requests with an idempotency key, which may run
// at most once.
type RequestGenerator struct {
	settings     RequestGeneratorSettings
	clock        Clock
	collector    *Collector
	fabric       *Fabric
	client       *http.Client
	done         chan struct{}
	goroutines   sync.WaitGroup
	requestCount int
}

const (
	noOutcome           = "none" // in place of an outcome that was not received
	requestTimeout      = 20 * time.Second
	requestTickInterval = 10 * time.Millisecond
	maxKeyAttempts      = 20 // to fetch one idempotency key
)

// StartRequestGenerator starts sending requests to the ready instances of the fabric.
func StartRequestGenerator(settings RequestGeneratorSettings, clock Clock, collector *Collector, fabric *Fabric) *RequestGenerator {
	r := &RequestGenerator{
		settings: settings, clock: clock, collector: collector, fabric: fabric, done: make(chan struct{}),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	r.goroutines.Add(1)
	go r.runTicks()
	return r
}

// Close stops sending and waits for the responses.
func (r *RequestGenerator) Close() error {
	close(r.done)
	r.goroutines.Wait()
	r.client.CloseIdleConnections()
	return nil
}

func (r *RequestGenerator) runTicks() {
	defer r.goroutines.Done()
	ticks, stop := r.clock.Ticker(requestTickInterval)
	defer stop()
	requestsDue := 0.0
	for {
		select {
		case <-r.done:
			return
		case <-ticks:
		}
		for requestsDue += r.settings.RequestsPerSecond * requestTickInterval.Seconds(); requestsDue >= 1; requestsDue-- {
			r.requestCount++
			id := "r" + strconv.Itoa(r.requestCount)
			hostName := r.settings.HostNames[r.requestCount%len(r.settings.HostNames)]
			r.goroutines.Add(1)
			if r.requestCount%2 == 0 {
				go r.sendGet(id, hostName)
			} else {
				go r.sendKeyedPost(id, hostName)
			}
		}
	}
}

// randomRequestAddress returns the request address of a random ready instance, and false if
// none is ready.
func (r *RequestGenerator) randomRequestAddress() (string, bool) {
	instances := r.fabric.ReadyInstances()
	if len(instances) == 0 {
		return "", false
	}
	return instances[rand.IntN(len(instances))].RequestAddress, true
}

func (r *RequestGenerator) sendGet(id, hostName string) {
	defer r.goroutines.Done()
	r.sendRequest(http.MethodGet, id, hostName, "", "")
}

// sendKeyedPost sends a POST request with an idempotency key. If it gets no outcome, and
// for ResendShare of the requests anyway, it sends the request once more through a random
// instance, which may be the same.
func (r *RequestGenerator) sendKeyedPost(id, hostName string) {
	defer r.goroutines.Done()
	idempotencyKey, ok := r.fetchIdempotencyKey()
	if !ok {
		return
	}
	outcome := r.sendRequest(http.MethodPost, id, hostName, idempotencyKey, "form "+id)
	if outcome == noOutcome || rand.Float64() < r.settings.ResendShare {
		r.sendRequest(http.MethodPost, id, hostName, idempotencyKey, "form "+id)
	}
}

// fetchIdempotencyKey requests an idempotency key, up to maxKeyAttempts times.
func (r *RequestGenerator) fetchIdempotencyKey() (string, bool) {
	for range maxKeyAttempts {
		address, ok := r.randomRequestAddress()
		if !ok {
			return "", false
		}
		response, err := r.client.Post("http://"+address+"/v1/tickets", "", nil)
		if err != nil {
			continue
		}
		var keyResponse requester.IdempotencyKeyResponse
		err = json.NewDecoder(response.Body).Decode(&keyResponse)
		response.Body.Close()
		if err == nil && keyResponse.Key != "" {
			return keyResponse.Key, true
		}
	}
	return "", false
}

// sendRequest sends one request, checks the response and records the outcome. It returns
// the outcome, or noOutcome if none was received.
func (r *RequestGenerator) sendRequest(method, id, hostName, idempotencyKey, body string) string {
	address, ok := r.randomRequestAddress()
	if !ok {
		return noOutcome
	}
	request, err := http.NewRequest(method, "http://"+address+"/cards", strings.NewReader(body))
	if err != nil {
		return noOutcome
	}
	request.Host = hostName
	request.Header.Set(HeaderRequestID, id)
	if idempotencyKey != "" {
		request.Header.Set(requester.HeaderIdempotencyKey, idempotencyKey)
	}
	sentAt := r.clock.Now()
	response, err := r.client.Do(request)
	if err != nil {
		r.collector.recordOutcome(id, noOutcome, true, r.clock.Now().Sub(sentAt))
		return noOutcome
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	outcome := response.Header.Get(requester.HeaderOutcome)
	if outcome == "" {
		outcome = noOutcome
	}
	responseCorrect := true
	if err == nil && response.StatusCode == http.StatusOK {
		responseCorrect = string(content) == id+" "+strconv.Itoa(len(body))
	}
	r.collector.recordOutcome(id, outcome, responseCorrect, r.clock.Now().Sub(sentAt))
	return outcome
}
