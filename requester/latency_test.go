package requester

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"almondpick/dispatcher"
	"almondpick/issuer"
)

// BenchmarkLatency reports the latency that the Proxy adds to a request, compared with
// direct requests to the target in the same run.
func BenchmarkLatency(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "card")
	}))
	defer target.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	proxy, err := New("i1", 1, l, wallClock{}, issuer.NewSigner([]byte("key")))
	if err != nil {
		b.Fatal(err)
	}
	defer proxy.Close()
	targetAddress := netip.MustParseAddrPort(target.Listener.Addr().String())
	proxy.SetView(View{
		RequestAddress: l.Addr().String(),
		Services:       []Service{{Name: "cards", HostNames: []string{"cards.example"}, Jobs: []string{"cards"}, SlotWaitTimeout: time.Second}},
		Targets:        []Target{{Target: dispatcher.Target{Name: "t", Slots: 16, Eligible: true}, Job: "cards", RequestAddress: targetAddress}},
		Peers:          []Peer{{Name: "i1", RequestAddress: l.Addr().String()}},
	})
	timeRequest := func(address string) time.Duration {
		r, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "cards.example"
		sentAt := time.Now()
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return time.Since(sentAt)
	}
	var direct, proxied []time.Duration
	for b.Loop() {
		direct = append(direct, timeRequest(targetAddress.String()))
		proxied = append(proxied, timeRequest(l.Addr().String()))
	}
	slices.Sort(direct)
	slices.Sort(proxied)
	addedMilliseconds := func(percentile int) float64 {
		return float64(proxied[(len(proxied)-1)*percentile/100]-direct[(len(direct)-1)*percentile/100]) / float64(time.Millisecond)
	}
	b.ReportMetric(addedMilliseconds(50), "ms-added-p50")
	b.ReportMetric(addedMilliseconds(99), "ms-added-p99")
}
