package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// newClient returns an HTTP client with connections of its own, kept for further calls.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

var defaultClient = newClient()

// call makes one HTTP call and returns the status, 0 if there was no response in time.
func call(method, address, path, body string, timeout time.Duration) (int, string) {
	return callWith(defaultClient, method, address, path, body, timeout)
}

func callWith(c *http.Client, method, address, path, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	if body == "" {
		request.Body = http.NoBody
	} else {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

// route is a route of the configuration: flows to host:port go to a service.
type route struct {
	host    string
	port    int
	service string
}

// putConfig sends a configuration as the operator does: to one node after the other, until it is
// acknowledged, refused, or the time is over. It returns whether it was acknowledged.
func (d *deployment) putConfig(version int, routes []route, limit time.Duration) bool {
	services := map[string]bool{}
	var routeTexts, serviceTexts []string
	for i, r := range routes {
		routeTexts = append(routeTexts, fmt.Sprintf(`{"name":"r-%d","host":%q,"pathPrefix":"/%d/","type":"safe","timeoutMs":1500,"sloMs":250,"priority":2,"service":%q,"maxAttempts":2}`, i, r.host, r.port, r.service))
		if !services[r.service] {
			services[r.service] = true
			serviceTexts = append(serviceTexts, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false}`, r.service))
		}
	}
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(routeTexts, ","), strings.Join(serviceTexts, ","))
	deadline := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		addresses := d.controlAddresses()
		address := addresses[attempt%len(addresses)]
		status, _ := call(http.MethodPut, address, "/api/config", body, callTimeout)
		d.record.printf("operator: PUT /api/config version %d to %s: %d", version, address, status)
		if status == http.StatusOK {
			return true
		}
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return false
		}
		time.Sleep(min(200*time.Millisecond<<min(attempt, 3), time.Second))
	}
	return false
}
