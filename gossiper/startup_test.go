package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func instanceRecord(n int) Record {
	name := fmt.Sprintf("10.1.%d.%d", n/250, n%250+1)
	g := New(Instance{Name: name, PeerAddress: name + ":7000", RPCAddress: name + ":7000"}, uint64(n+1))
	r, _ := g.Record(InstanceKeyPrefix + name)
	return r
}

// An instance without a live member probes its seeds quickly at first and then backs off.
// After a loss of all seeds every instance of a deployment probes them.
func TestSeedProbesBackOff(t *testing.T) {
	is := is.New(t)
	g := New(Instance{Name: "a", PeerAddress: "10.0.0.1:7000", RPCAddress: "10.0.0.1:7000"}, 1, WithSeeds("10.0.0.2:7000", "10.0.0.3:7000"))
	sent, early := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		n := len(g.Tick(now))
		sent += n
		if now < time.Second {
			early += n
		}
	}
	is.True(early >= 2*24) // 24 probes of each seed: the seeds may start up to a second later than this instance
	is.True(sent <= 2*(fastSeedRetries+4+int(10*time.Second/maxSeedRetryDelay)))
	// The backoff is bounded: the seeds are found soon after they are back.
	is.True(seedRetryDelay(1000) < time.Second)
}

// Imported records start no rumors, except for the refutation of an imported record that
// declares this instance dead.
func TestImportedRecordsStartNoRumors(t *testing.T) {
	is := is.New(t)
	self := Instance{Name: "a", PeerAddress: "10.0.0.1:7000", RPCAddress: "10.0.0.1:7000"}
	g := New(self, 5)
	var records []Record
	for n := range 300 {
		records = append(records, instanceRecord(n))
	}
	dead, _ := g.Record(InstanceKeyPrefix + "a")
	dead.Liveness = LivenessDead
	g.store.rumors = nil
	g.ImportRecords(0, append(records, dead))
	is.Equal(g.MemberCount(), 300)
	is.Equal(len(g.store.rumors), 1)
	own, _ := g.Record(InstanceKeyPrefix + "a")
	is.Equal(own.Liveness, LivenessSelfReported)
	is.True(own.Supersedes(dead))
}

// BenchmarkImportRecords measures the import of all records of a large deployment by an
// instance that has just started.
func BenchmarkImportRecords(b *testing.B) {
	var records []Record
	for n := range 3000 {
		records = append(records, instanceRecord(n))
	}
	for b.Loop() {
		New(Instance{Name: "a", PeerAddress: "10.0.0.1:7000", RPCAddress: "10.0.0.1:7000"}, 5).ImportRecords(0, records)
	}
}
