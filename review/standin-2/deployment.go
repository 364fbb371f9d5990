package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a deployment. They are the same on all machines.
const (
	dataPort     = 8172
	readyPort    = 8167
	controlPort  = 8166
	firstPort    = 7720
	internalSize = 15
	metricsPort  = 9464 // in the commands of the deploy file
)

// Figures of a small deployment.
const (
	heartbeatMs = 1200
	drainMs     = 3000
	configMs    = 3000
	evacuateMs  = 5000
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is a machine that runs one process of the system.
type machine struct {
	name, class, zone, ip, folder, dataDir string
	command                                []string
	process                                *exec.Cmd
	exited                                 chan struct{}
}

// deployment is a small deployment on loopback addresses, with the routers of the platform.
type deployment struct {
	net      int // second octet of all addresses
	folder   string
	record   *record
	core     []*machine
	front    []*machine
	mu       sync.Mutex
	rotation map[string]bool // addresses of front machines that are in rotation
	done     chan struct{}
	probes   sync.WaitGroup
}

// readCommands returns the command of each class of machines in the deploy file.
func readCommands() (map[string][]string, error) {
	f, err := os.Open("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	commands := make(map[string][]string)
	var run string
	for lines := bufio.NewScanner(f); lines.Scan(); {
		key, value, ok := strings.Cut(lines.Text(), "=")
		if !ok {
			continue
		}
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "run":
			run = value
		case "on":
			commands[value] = strings.Fields(run)
		}
	}
	if commands["core"] == nil || commands["frontend"] == nil {
		return nil, errors.New("deploy/system.toml has no command for core or frontend")
	}
	return commands, nil
}

// freeNet returns the second octet of a loopback network whose addresses nobody uses.
func freeNet() (int, error) {
	for range 50 {
		n := 20 + rand.IntN(200)
		free := true
		for _, port := range []int{dataPort, readyPort, controlPort, firstPort, firstPort + 1, metricsPort} {
			for _, host := range []string{"1.1", "1.2", "1.3", "2.1", "2.2", "2.3"} {
				l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%s:%d", n, host, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return 0, errors.New("no free loopback network")
}

// newDeployment lays out machines: one core machine in each zone, and front machines in the
// zones that are given.
func newDeployment(r *record, frontZones ...string) (*deployment, error) {
	commands, err := readCommands()
	if err != nil {
		return nil, err
	}
	n, err := freeNet()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{net: n, folder: folder, record: r, rotation: make(map[string]bool), done: make(chan struct{})}
	for i, zone := range zones {
		m := &machine{name: fmt.Sprintf("core-%s-%d", zone, i+1), class: "core", zone: zone, ip: d.address(1, i+1), command: commands["core"]}
		m.folder = filepath.Join(folder, m.name)
		m.dataDir = filepath.Join(m.folder, "data")
		d.core = append(d.core, m)
	}
	for i, zone := range frontZones {
		m := &machine{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), class: "frontend", zone: zone, ip: d.address(2, i+1), command: commands["frontend"]}
		m.folder = filepath.Join(folder, m.name)
		d.front = append(d.front, m)
	}
	for _, m := range d.machines() {
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return nil, err
		}
		if err := d.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) address(kind, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.net, kind, host)
}

func (d *deployment) machines() []*machine { return slices.Concat(d.core, d.front) }

// writeSettings writes the settings file of a machine. JSON is YAML.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	listen, serves := map[string]any{}, "frontend"
	var dataDir any
	diskMb := 0
	if m.class == "core" {
		serves, dataDir, diskMb = "control_plane", m.dataDir, 128
		listen["controlPlane"] = m.ip + ":" + strconv.Itoa(controlPort)
	} else {
		listen["dataAddr"] = m.ip + ":" + strconv.Itoa(dataPort)
		listen["readyAddr"] = m.ip + ":" + strconv.Itoa(readyPort)
	}
	var seeds []string
	for _, c := range d.core {
		seeds = append(seeds, c.ip+":"+strconv.Itoa(controlPort))
	}
	regions := map[string]any{}
	for _, zone := range zones {
		regions[zone] = "region"
	}
	b, err := json.Marshal(map[string]any{
		"nodeId": m.name, "role": "role-" + m.class, "machineClass": m.class, "serves": []string{serves},
		"ip": m.ip, "zone": m.zone, "region": "region", "zones": regions, "listen": listen,
		"internalPorts": []int{firstPort, firstPort + internalSize}, "seeds": seeds, "bootstrap": bootstrap,
		"countsAsLoss": m.class == "core",
		"limits":       map[string]any{"cpuQuota": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": diskMb},
		"dataDir":      dataDir, "discovery": "registry", "entry": "advertise", "heartbeatMs": heartbeatMs,
		"invariants":     []string{"base", "drain", "config", "cost", "recover", "flows"},
		"faultTolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "stabilityWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": drainMs, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": configMs, "downgradeSlackMs": 250, "maxSkewMs": 12000, "recoveryS": 12,
			"reorderMs": 2000, "maxFlowS": 60, "evacuateMs": evacuateMs, "warmupExcess": 1.5, "warmupSlack": 5,
		},
		"config_mode": "highest", "hash": "mod", "forwardingMode": "echo",
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(m.folder, "node.yaml"), b, 0o600)
}

// start starts the process of a machine.
func (d *deployment) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := exec.Command(m.command[0], m.command[1:]...)
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "ALMONDPICK_NODE_FILE=" + filepath.Join(m.folder, "node.yaml")}
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	m.process, m.exited = p, make(chan struct{})
	go func() {
		_ = p.Wait()
		close(m.exited)
	}()
	d.record.printf("start %s at %s", m.name, m.ip)
	return nil
}

// startAll starts all machines and the readiness probes.
func (d *deployment) startAll() error {
	for _, m := range d.machines() {
		if err := d.start(m); err != nil {
			return err
		}
	}
	for _, m := range d.front {
		d.probes.Add(1)
		go d.probe(m)
	}
	return nil
}

// kill ends the process of a machine with SIGKILL and waits for it.
func (d *deployment) kill(m *machine) {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGCONT)
	_ = m.process.Process.Kill()
	<-m.exited
	m.process = nil
}

// close ends all processes and removes their files.
func (d *deployment) close() {
	close(d.done)
	d.probes.Wait()
	for _, m := range d.machines() {
		d.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	}
}

// ended returns the name of a machine whose process has ended by itself, or "".
func (d *deployment) ended() string {
	for _, m := range d.machines() {
		if m.process == nil {
			continue
		}
		select {
		case <-m.exited:
			return m.name
		default:
		}
	}
	return ""
}

// probe asks a machine twice a second whether it is ready. After two misses it is out of rotation
// until it responds again.
func (d *deployment) probe(m *machine) {
	defer d.probes.Done()
	client := http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 2
	for ticks := time.NewTicker(500 * time.Millisecond); ; {
		resp, err := client.Get("http://" + m.ip + ":" + strconv.Itoa(readyPort) + "/api/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		d.setRotation(m, misses < 2)
		select {
		case <-ticks.C:
		case <-d.done:
			ticks.Stop()
			return
		}
	}
}

func (d *deployment) setRotation(m *machine, in bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rotation[m.ip] != in {
		d.record.printf("%s in rotation: %t", m.name, in)
	}
	d.rotation[m.ip] = in
}

// route returns the front machine that gets a packet from a client of a zone, by a hash of the
// four addresses and ports.
func (d *deployment) route(zone string, p packet) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all, in, everywhere []string
	for _, m := range d.front {
		if d.rotation[m.ip] {
			everywhere = append(everywhere, m.ip)
		}
		if m.zone != zone {
			continue
		}
		all = append(all, m.ip)
		if d.rotation[m.ip] {
			in = append(in, m.ip)
		}
	}
	nodes := in
	switch {
	case len(in) == 0 && len(everywhere) > 0:
		nodes = everywhere
	case 2*len(in) < len(all):
		nodes = all
	}
	if len(nodes) == 0 {
		return ""
	}
	hash := uint32(2166136261)
	for _, b := range []byte(p.src.String() + ">" + p.dst.String()) {
		hash = (hash ^ uint32(b)) * 16777619
	}
	return nodes[int(hash>>8)%len(nodes)]
}

// awaitReady waits until all front machines are in rotation.
func (d *deployment) awaitReady(limit time.Duration) bool {
	return awaitTrue(limit, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, m := range d.front {
			if !d.rotation[m.ip] {
				return false
			}
		}
		return true
	})
}

func awaitTrue(limit time.Duration, f func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
