package operator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"almondpick/announcer"
)

// announcedControlPlane records announcements.
type announcedControlPlane struct {
	ControlPlane
	announced []announcer.Announcement
}

func (f *announcedControlPlane) Announce(_ context.Context, a announcer.Announcement) error {
	f.announced = append(f.announced, a)
	return a.Validate()
}

// alwaysReady implements ReadinessReporter.
type alwaysReady struct{}

func (alwaysReady) Ready() bool { return true }

// An announcement that is no JSON text, or that readers understand in different ways, must not be
// read as another one (incident 11).
func TestAnnouncementThatIsNoTextIsRefused(t *testing.T) {
	is := is.New(t)
	announcement := announcer.Announcement{
		Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), Job: "menus", DataCentre: "dc1", Slots: 2, Load: 0.5,
		State: announcer.SlowStart, SlowStartRemaining: 3 * time.Second, Incarnation: 7, Sequence: 8,
	}
	encoded, err := json.Marshal(announcement)
	is.NoErr(err)
	good := string(encoded)
	control := &announcedControlPlane{}
	handler := New(control, slog.New(slog.DiscardHandler)).Handler(alwaysReady{}, prometheus.NewRegistry(), false)
	announce := func(body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
		return w.Code
	}
	is.Equal(announce(good), http.StatusNoContent)
	is.Equal(control.announced, []announcer.Announcement{announcement})
	for i := range good {
		if body := good[:i] + "\xf2" + good[i+1:]; announce(body) != http.StatusBadRequest {
			t.Errorf("accepted: %q", body)
		}
	}
	for _, body := range []string{
		"", good + "{}", good + "x", strings.Replace(good, `"job"`, `"Job"`, 1),
		strings.Replace(good, `"job"`, `"job":"other","job"`, 1), strings.Replace(good, `"dc1"`, `"\ud800"`, 1),
		strings.Replace(good, `"job"`, `"unknown":1,"job"`, 1), strings.Replace(good, `"cold"`, `"odd"`, 1),
		good[:len(good)-1] + strings.Repeat(" ", maxAnnouncementSize) + "}",
	} {
		if announce(body) != http.StatusBadRequest {
			t.Errorf("accepted: %q", body)
		}
	}
	is.Equal(len(control.announced), 1)
}
