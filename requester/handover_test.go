package requester

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestInterruptedHandoverLeavesOneIssuer interrupts a handover after the successor has
// received part of the tables. Only the old instance may then run requests with its keys,
// through whichever instance the requests arrive.
func TestInterruptedHandoverLeavesOneIssuer(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 3, respondComplete, respondComplete)
	var bodies, keys []string
	for n := range 30 {
		bodies = append(bodies, fmt.Sprint("form-", n))
		keys = append(keys, cluster.issueKey(0))
	}
	is.NoErr(cluster.proxies[0].PauseKeyedRequests(context.Background()))
	parts := cluster.proxies[0].ExportHandover()
	for _, part := range parts {
		part.FinalPart = false // the final message is lost
		cluster.proxies[1].ImportHandover(&part)
	}
	cluster.proxies[0].ResumeKeyedRequests()
	cluster.sendThroughAllProxies(keys, bodies)

	// The next handover succeeds. Requests that ran before must not run again.
	cluster.handOver(is, 0, 1)
	cluster.sendThroughAllProxies(keys, bodies)
}

// TestUnacknowledgedHandoverLeavesOneIssuer loses the response to the final message of a
// handover, or that message itself. The old instance cannot know which, so it must not run
// requests any more and forwards them to the successor.
func TestUnacknowledgedHandoverLeavesOneIssuer(t *testing.T) {
	for _, finalArrived := range []bool{true, false} {
		t.Run(fmt.Sprint("arrived: ", finalArrived), func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 3, respondComplete, respondComplete)
			key := cluster.issueKey(0)
			is.NoErr(cluster.proxies[0].PauseKeyedRequests(context.Background()))
			for _, part := range cluster.proxies[0].ExportHandover() {
				if finalArrived || !part.FinalPart {
					cluster.proxies[1].ImportHandover(&part)
				}
			}
			cluster.proxies[0].CompleteHandover(cluster.addresses[1])
			cluster.sendThroughAllProxies([]string{key}, []string{"form"})
			if finalArrived {
				is.Equal(cluster.runCount("form"), 1)
			} else {
				is.Equal(cluster.runCount("form"), 0) // no instance holds the key table: the outcome is unknown
			}
		})
	}
}

// sendThroughAllProxies sends each keyed request through all Proxies at the same time and
// checks the outcomes.
func (cluster *testCluster) sendThroughAllProxies(keys, bodies []string) {
	for i := range keys {
		results := make([]callResult, len(cluster.proxies))
		var callers sync.WaitGroup
		for proxyIndex := range cluster.proxies {
			callers.Add(1)
			go func() {
				defer callers.Done()
				results[proxyIndex] = cluster.send(context.Background(), proxyIndex, http.MethodPost, keys[i], bodies[i])
			}()
		}
		callers.Wait()
		cluster.checkOutcomes(bodies[i], results)
	}
}
