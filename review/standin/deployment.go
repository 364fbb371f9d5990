// Package main holds the stand-ins of the review: a platform with its routers, an operator,
// servers and clients. They speak what the users' pages say, and start the project's program with
// the commands of deploy/system.toml.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the users' settings name them.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 3 * time.Second
	addressReuseTime  = 2 * time.Second
	recoveryTime      = 12 * time.Second
	callTimeout       = time.Second
	probeInterval     = 500 * time.Millisecond
)

// record writes what happened to record.txt and to the standard output.
type record struct {
	mu      sync.Mutex
	file    *bufio.Writer
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	_ = r.file.Flush()
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// node is one machine of the system with its process.
type node struct {
	name    string
	ip      string
	storage bool
	folder  string
	cmd     *exec.Cmd
	exited  chan struct{}
	mu      sync.Mutex
}

// deployment is a small deployment on loopback addresses. The ports are the same on all machines.
type deployment struct {
	record      *record
	folder      string // temporary
	root        string // of the repository
	net         int    // third byte of all addresses is below it
	dataPort    int
	readyPort   int
	controlPort int
	peerPort    int // first of the internal ports
	stores      []*node
	fronts      []*node
	commands    map[string][]string // by the class of machines
	bootstrap   bool

	mu       sync.Mutex
	rotation []*node
	misses   map[*node]int
	done     chan struct{}
	loops    sync.WaitGroup
}

// newDeployment chooses addresses and free ports, and writes nothing yet.
func newDeployment(r *record, root, folder string, storeCount, frontCount int) (*deployment, error) {
	d := &deployment{
		record: r, root: root, folder: folder, net: 20 + rand.IntN(200), bootstrap: true,
		commands: make(map[string][]string), misses: make(map[*node]int), done: make(chan struct{}),
	}
	if err := d.readDeployFile(); err != nil {
		return nil, err
	}
	zones := []string{"a", "b", "c"}
	for i := range storeCount {
		d.stores = append(d.stores, &node{name: "core-" + zones[i%3], ip: d.address(1, i+1), storage: true})
	}
	for i := range frontCount {
		d.fronts = append(d.fronts, &node{name: "frontend-" + zones[i%3], ip: d.address(2, i+1)})
	}
	base := 21000 + rand.IntN(2000)*4
	d.dataPort, d.readyPort, d.controlPort, d.peerPort = base, base+1, base+2, base+10000
	for _, n := range d.nodes() {
		n.folder = filepath.Join(folder, n.name+"-"+n.ip)
		if err := os.MkdirAll(n.folder, 0o700); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) address(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.net, kind, n)
}

func (d *deployment) nodes() []*node {
	return append(append([]*node{}, d.stores...), d.fronts...)
}

// readDeployFile reads the command of each class of machines from the deploy file.
func (d *deployment) readDeployFile() error {
	b, err := os.ReadFile(filepath.Join(d.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	var run []string
	for line := range strings.Lines(string(b)) {
		key, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch {
		case !ok:
		case strings.TrimSpace(key) == "run":
			run = strings.Fields(value)
		case strings.TrimSpace(key) == "on":
			d.commands[value] = run
		}
	}
	if len(d.commands["frontend"]) == 0 || len(d.commands["core"]) == 0 {
		return fmt.Errorf("the deploy file has no commands for frontend and core")
	}
	return nil
}

// controlAddresses returns the addresses of the operator's and the servers' interface.
func (d *deployment) controlAddresses() []string {
	var out []string
	for _, s := range d.stores {
		out = append(out, fmt.Sprintf("%s:%d", s.ip, d.controlPort))
	}
	return out
}

// writeSettings writes the settings file of a machine, as DEPLOY.md shows it.
func (d *deployment) writeSettings(n *node) error {
	class, serves, listen, dataDir := "frontend", "frontend", "", "null"
	listen = fmt.Sprintf("  dataAddr: \"%s:%d\"\n  readyAddr: \"%s:%d\"\n", n.ip, d.dataPort, n.ip, d.readyPort)
	if n.storage {
		class, serves = "core", "control_plane"
		listen = fmt.Sprintf("  controlPlane: \"%s:%d\"\n", n.ip, d.controlPort)
		dataDir = fmt.Sprintf("%q", filepath.Join(n.folder, "data"))
	}
	zone := n.name[strings.LastIndex(n.name, "-")+1:]
	var seeds strings.Builder
	for _, s := range d.controlAddresses()[:3] {
		fmt.Fprintf(&seeds, "  - %q\n", s)
	}
	text := fmt.Sprintf(`nodeId: %q
role: "my-%s"
machineClass: %q
serves:
  - %q
ip: %q
zone: %q
region: "r"
zones:
  a: "r"
  b: "r"
  c: "r"
listen:
%sinternalPorts:
  - %d
  - %d
seeds:
%sbootstrap: %t
countsAsLoss: %t
limits:
  cpuQuota: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 128
dataDir: %s
discovery: "registry"
entry: "advertise"
heartbeatMs: %d
faultTolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  seedLagS: 3
  addrReuseS: 2
  stabilityWindowMs: 4000
  ackMs: 5000
  catchUpS: 4
  drainMs: 3000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 3000
  downgradeSlackMs: 250
  maxSkewMs: 12000
  recoveryS: 12
  reorderMs: 2000
  maxFlowS: 60
config_mode: "highest"
hash: "mod"
forwardingMode: "echo"
`, n.name, class, class, serves, n.ip, zone, listen, d.peerPort, d.peerPort+15, seeds.String(), d.bootstrap, n.storage, dataDir, heartbeatInterval.Milliseconds())
	return os.WriteFile(d.settingsFile(n), []byte(text), 0o600)
}

func (d *deployment) settingsFile(n *node) string { return filepath.Join(n.folder, "node.yaml") }

// start writes the settings of a machine and starts its process.
func (d *deployment) start(n *node) error {
	if err := d.writeSettings(n); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	class := "frontend"
	if n.storage {
		class = "core"
	}
	words := d.commands[class]
	cmd := exec.Command(filepath.Join(d.root, words[0]), words[1:]...)
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDPICK_NODE_FILE=" + d.settingsFile(n)}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	return nil
}

// signal sends a signal to the process of a machine.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended and returns how.
func (n *node) wait() string {
	n.mu.Lock()
	exited, cmd := n.exited, n.cmd
	n.mu.Unlock()
	if exited == nil {
		return ""
	}
	<-exited
	return cmd.ProcessState.String()
}

// running reports whether the process runs.
func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// kill ends the process of a machine with SIGKILL.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.wait()
}

// stop ends the process of a machine as the platform does: SIGTERM, and SIGKILL after the grace.
func (n *node) stop() {
	const grace = 6 * time.Second
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		n.kill()
	}
}

// startAll starts all machines and the routers' probes.
func (d *deployment) startAll() error {
	for _, n := range d.nodes() {
		if err := d.start(n); err != nil {
			return err
		}
	}
	d.loops.Add(1)
	go d.probeLoop()
	return nil
}

// close ends all processes.
func (d *deployment) close() {
	close(d.done)
	d.loops.Wait()
	for _, n := range d.nodes() {
		n.kill()
	}
}

// probeLoop asks each machine twice a second whether it is ready. After two misses it is out of
// rotation until it answers with 200 again.
func (d *deployment) probeLoop() {
	defer d.loops.Done()
	for {
		var wait sync.WaitGroup
		ready := make([]bool, len(d.fronts))
		for i, f := range d.fronts {
			wait.Add(1)
			go func() {
				defer wait.Done()
				status, _ := call(http.MethodGet, fmt.Sprintf("%s:%d", f.ip, d.readyPort), "/api/ready", "", probeInterval)
				ready[i] = status == http.StatusOK
			}()
		}
		wait.Wait()
		d.mu.Lock()
		d.rotation = nil
		for i, f := range d.fronts {
			d.misses[f]++
			if ready[i] {
				d.misses[f] = 0
			}
			if d.misses[f] < 2 {
				d.rotation = append(d.rotation, f)
			}
		}
		if 2*len(d.rotation) < len(d.fronts) {
			d.rotation = d.fronts
		}
		d.mu.Unlock()
		select {
		case <-d.done:
			return
		case <-time.After(probeInterval):
		}
	}
}

// frontOf returns the machine that the routers hash a flow to.
func (d *deployment) frontOf(hash uint32) *net.UDPAddr {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rotation) == 0 {
		return nil
	}
	f := d.rotation[int(hash%uint32(len(d.rotation)))]
	return &net.UDPAddr{IP: net.ParseIP(f.ip), Port: d.dataPort}
}

// frontsReady reports whether all machines answer that they are ready.
func (d *deployment) frontsReady() bool {
	for _, f := range d.fronts {
		if status, _ := call(http.MethodGet, fmt.Sprintf("%s:%d", f.ip, d.readyPort), "/api/ready", "", callTimeout); status != http.StatusOK {
			return false
		}
	}
	return true
}
