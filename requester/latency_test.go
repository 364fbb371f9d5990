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

// BenchmarkLatency reports what the door adds to a request, beside the bare target in
// the same run.
func BenchmarkLatency(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "card")
	}))
	defer target.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	d, err := New("i1", 1, l, wallClock{}, issuer.NewSigner([]byte("key")))
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	at := netip.MustParseAddrPort(target.Listener.Addr().String())
	d.SetView(View{
		RequestAddress: l.Addr().String(),
		Services:       []Service{{Name: "cards", HostNames: []string{"cards.example"}, Jobs: []string{"cards"}, MaxWait: time.Second}},
		Targets:        []Target{{Target: dispatcher.Target{Name: "t", Slots: 16, Eligible: true}, Job: "cards", RequestAddress: at}},
		Peers:          []Peer{{Name: "i1", RequestAddress: l.Addr().String()}},
	})
	ask := func(to string) time.Duration {
		r, err := http.NewRequest(http.MethodGet, "http://"+to+"/", nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "cards.example"
		begun := time.Now()
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return time.Since(begun)
	}
	var bare, through []time.Duration
	for b.Loop() {
		bare = append(bare, ask(at.String()))
		through = append(through, ask(l.Addr().String()))
	}
	slices.Sort(bare)
	slices.Sort(through)
	added := func(p int) float64 {
		return float64(through[(len(through)-1)*p/100]-bare[(len(bare)-1)*p/100]) / float64(time.Millisecond)
	}
	b.ReportMetric(added(50), "ms-added-p50")
	b.ReportMetric(added(99), "ms-added-p99")
}
