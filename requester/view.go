package requester

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"almondpick/dispatcher"
	"almondpick/ranker"
)

// Service is the part of a service's configuration that the proxy needs.
type Service struct {
	Name              string
	HostNames         []string      // matched against the Host header without regard to case
	Jobs              []string      // targets with one of these jobs serve the service
	Tenant            string        // customer that the service belongs to; requests are queued by tenant
	Class             string        // class of the requests, for metrics
	IdempotentMethods []string      // methods whose requests may run again, besides the safe methods
	SlotWaitTimeout   time.Duration // how long a request waits for a free slot
}

// Target is a target that accepts HTTP requests.
type Target struct {
	dispatcher.Target
	Job            string
	RequestAddress netip.AddrPort
}

// Peer is an instance that can assign the slots of a pool.
type Peer struct {
	Name           string
	RequestAddress string // address of its Proxy
}

// View is an immutable snapshot of the configuration and membership that a Proxy routes by.
type View struct {
	RequestAddress  string // address of this instance's Proxy, as other instances know it
	Services        []Service
	Targets         []Target
	Peers           []Peer            // serving instances, including this one if it serves
	IssuerAddresses map[string]string // by issuer ID, the address of the Proxy that holds its key table
}

// indexedView is a View with lookup tables.
type indexedView struct {
	View
	serviceByHost   map[string]Service // by host name in lower case
	targetByName    map[string]Target
	peerHashes      []uint64 // of the names of Peers, in the same order
	issuerAddresses map[string]string
}

// SetView replaces the View that the Proxy routes by.
func (px *Proxy) SetView(v View) {
	indexed := indexView(v)
	px.view.Store(indexed)
	targetsByPool := make(map[string][]dispatcher.Target)
	for _, s := range v.Services {
		name := poolName(s.Jobs)
		if _, ok := targetsByPool[name]; ok {
			continue
		}
		targetsByPool[name] = []dispatcher.Target{}
		for _, t := range v.Targets {
			if slices.Contains(s.Jobs, t.Job) {
				targetsByPool[name] = append(targetsByPool[name], t.Target)
			}
		}
	}
	px.slotPools.setTargets(targetsByPool)
}

func indexView(v View) *indexedView {
	indexed := &indexedView{View: v, serviceByHost: make(map[string]Service), targetByName: make(map[string]Target), issuerAddresses: v.IssuerAddresses}
	for _, s := range v.Services {
		for _, n := range s.HostNames {
			indexed.serviceByHost[strings.ToLower(n)] = s
		}
	}
	for _, t := range v.Targets {
		indexed.targetByName[t.Name] = t
	}
	for _, p := range v.Peers {
		indexed.peerHashes = append(indexed.peerHashes, ranker.Hash(p.Name))
	}
	return indexed
}
