package soaker

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"almondpick/platform"
)

// Each broken promise is caught; what is allowed is not.
func TestLedger(t *testing.T) {
	at := netip.MustParseAddrPort("127.0.0.1:9000")
	menu := &target{identity: 1, pool: "menus", at: at}
	pack := &target{identity: 2, pool: "packs", at: at}
	leaving := &target{identity: 3, pool: "menus", at: at, leftAt: time.Now().Add(-2 * drainLimit)}
	syn := platform.Segment{From: at, To: menuRoute, SYN: true}
	old := time.Now().Add(-time.Minute)
	for _, c := range []struct {
		name string
		calm bool
		play func(l *ledger)
		want string
	}{
		{"right service", true, func(l *ledger) { l.opened(menu, syn) }, ""},
		{"wrong service", true, func(l *ledger) { l.opened(pack, syn) }, "wrong service"},
		{"leaving, calm", true, func(l *ledger) { l.opened(leaving, syn) }, "leaving target"},
		{"leaving, disturbed", false, func(l *ledger) { l.opened(leaving, syn) }, ""},
		{"once", true, func(l *ledger) { l.ran(menu, "a"); l.ran(menu, "b") }, ""},
		{"twice", true, func(l *ledger) { l.ran(menu, "a"); l.ran(pack, "a") }, "at most once"},
		{"refused after it ran", true, func(l *ledger) { l.ran(menu, "a"); l.got("a", "", true) }, "not run means not run"},
		{"own answer", true, func(l *ledger) { l.got("a", "i-1 a", false) }, ""},
		{"other's answer", true, func(l *ledger) { l.got("a", "i-1 b", false) }, "own answer"},
		{"open flow reset, calm", true, func(l *ledger) { l.cutShort("a", old) }, "open flow"},
		{"open flow reset, disturbed", false, func(l *ledger) { l.cutShort("a", old) }, ""},
		{"valid order refused", true, func(l *ledger) { l.put(4, "x", false, 400) }, "order"},
		{"order unclear", true, func(l *ledger) { l.put(4, "x", false, 503) }, ""},
		{"read back", true, func(l *ledger) {
			l.put(4, document(4, false), false, 200)
			l.read(4, document(4, false))
		}, ""},
		{"read back older", true, func(l *ledger) {
			l.put(4, document(4, false), false, 200)
			l.put(5, document(5, false), false, 200)
			l.read(5, document(4, false))
		}, "configuration"},
		{"read back other content", true, func(l *ledger) {
			l.put(4, document(4, false), false, 200)
			l.read(4, document(4, true))
		}, "configuration"},
		{"dropped route opens", true, func(l *ledger) {
			l.put(4, "x", false, 200)
			l.acked[4] = old
			l.probed(time.Now(), flowEnd{opened: true})
		}, "in force"},
		{"added route refused", true, func(l *ledger) {
			l.put(4, "x", true, 200)
			l.acked[4] = old
			l.probed(time.Now(), flowEnd{refused: true})
		}, "in force"},
		{"a change is under way", true, func(l *ledger) {
			l.put(4, "x", true, 200)
			l.acked[4] = old
			l.put(5, "y", false, 0)
			l.probed(time.Now(), flowEnd{refused: true})
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger()
			l.calm = func(time.Time) bool { return c.calm }
			l.pools[menuRoute.String()] = "menus"
			c.play(l)
			got := strings.Join(l.broken, "; ")
			if (c.want == "") != (got == "") || !strings.HasPrefix(got, c.want) {
				t.Errorf("broken: %q, want %q", got, c.want)
			}
		})
	}
}
