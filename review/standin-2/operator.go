package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// A configuration, as the protocol page gives it.
type (
	routeDoc struct {
		Name        string     `json:"name"`
		Host        string     `json:"host"`
		PathPrefix  string     `json:"pathPrefix"`
		Type        string     `json:"type"`
		TimeoutMs   int        `json:"timeoutMs"`
		SloMs       int        `json:"sloMs"`
		Priority    int        `json:"priority"`
		Service     string     `json:"service,omitempty"`
		Split       []splitDoc `json:"split,omitempty"`
		MaxAttempts int        `json:"maxAttempts"`
	}
	splitDoc struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}
	serviceDoc struct {
		Name       string `json:"name"`
		HealthPath string `json:"healthPath"`
		MaxConns   int    `json:"maxConns"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
	}
	limitsDoc struct {
		MaxHeaderBytes  int `json:"maxHeaderBytes"`
		MaxBodyBytes    int `json:"maxBodyBytes"`
		HeaderTimeoutMs int `json:"headerTimeoutMs"`
		IdleTimeoutMs   int `json:"idleTimeoutMs"`
	}
	configDoc struct {
		Version  int          `json:"version"`
		Routes   []routeDoc   `json:"routes"`
		Services []serviceDoc `json:"services"`
		Limits   limitsDoc    `json:"limits"`
	}
)

// newConfig returns a configuration with the given services and routes.
func newConfig(version int, services []string, routes ...routeDoc) configDoc {
	c := configDoc{Version: version, Routes: routes, Limits: limitsDoc{16384, 262144, 3000, 15000}}
	for _, name := range services {
		c.Services = append(c.Services, serviceDoc{Name: name, HealthPath: "/health", MaxConns: 2000, Protocol: "h1"})
	}
	return c
}

func newRoute(name, host string, port int) routeDoc {
	return routeDoc{Name: name, Host: host, PathPrefix: "/" + strconv.Itoa(port) + "/", Type: "safe", TimeoutMs: 1500, SloMs: 250, Priority: 1, MaxAttempts: 2}
}

func (c configDoc) encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

// httpClient uses a connection for each call and gives up after a second, as callers do.
var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call to a machine that serves the control plane. The status is 0 without a response.
func (d *deployment) call(m *machine, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+m.ip+":"+strconv.Itoa(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// order makes a call of the operator: it goes on to the next machine until the response is clear, for
// 20 seconds at most. It returns the last status.
func (d *deployment) order(what, method, path string, body []byte) int {
	status := 0
	for i, until := 0, time.Now().Add(20*time.Second); time.Now().Before(until); i++ {
		m := d.core[i%len(d.core)]
		var reply []byte
		status, reply = d.call(m, method, path, body)
		d.record.printf("operator: %s to %s: status %d %s", what, m.name, status, bytes.TrimSpace(reply))
		if status/100 == 2 || (status/100 == 4 && status != 408 && status != 429) {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}
