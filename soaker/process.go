package soaker

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of all instances; each has an address of its own.
const (
	callerPort  = 18172 // of the flow door too
	readyPort   = 18167
	controlPort = 18166
	peerPort    = 17720
)

// instance is one process of the program, with the proxy before its peer door.
type instance struct {
	name   string
	zone   string
	store  bool
	ip     netip.Addr // that it goes by, where its proxy listens
	own    netip.Addr // where it listens itself
	folder string
	proxy  *proxy

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	busy  bool // a fault has it
}

func (i *instance) flowAddress() netip.AddrPort { return netip.AddrPortFrom(i.own, callerPort) }
func (i *instance) readyAddress() string        { return netip.AddrPortFrom(i.own, readyPort).String() }
func (i *instance) controlAddress() string      { return netip.AddrPortFrom(i.own, controlPort).String() }

// settings writes the settings file.
func (i *instance) settings(seeds []string, first bool) error {
	listen, data := "", "null"
	if i.store {
		listen = fmt.Sprintf("  controlPlane: %q\n", i.controlAddress())
		data = fmt.Sprintf("%q", filepath.Join(i.folder, "data"))
	} else {
		listen = fmt.Sprintf("  dataAddr: %q\n  readyAddr: %q\n", i.flowAddress(), i.readyAddress())
	}
	text := fmt.Sprintf("nodeId: %q\nip: %q\nzone: %q\nlisten:\n%sinternalPorts: [%d, %d]\nseeds:\n",
		i.name, i.ip, i.zone, listen, peerPort, peerPort+15)
	for _, s := range seeds {
		text += fmt.Sprintf("  - %q\n", s)
	}
	text += fmt.Sprintf("bootstrap: %t\ndataDir: %s\nheartbeatMs: %d\nfaultTolerance: {machines: 1, zones: 1}\nbounds: {graceS: 5}\n",
		first, data, heartbeat.Milliseconds())
	return os.WriteFile(filepath.Join(i.folder, "node.yaml"), []byte(text), 0o600)
}

// peerListen returns where the peer door listens, behind the proxy.
func (i *instance) peerListen() netip.AddrPort {
	if i.store {
		return netip.AddrPortFrom(i.own, peerPort)
	}
	return netip.AddrPortFrom(i.own, peerPort+1)
}

// start starts the process.
func (i *instance) start(program string) error {
	log, err := os.OpenFile(filepath.Join(i.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "node", "-peer-listen", i.peerListen().String())
	cmd.Env = append(os.Environ(), "ALMONDPICK_NODE_FILE="+filepath.Join(i.folder, "node.yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended does not matter; that it did shows in ended
		close(ended)
	}()
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended
	i.mu.Unlock()
	return nil
}

// signal sends a signal to the process that this instance started, if it still runs.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	_ = i.cmd.Process.Signal(s) // fails once the process has ended, which is as well
}

// stop ends the process with a signal and waits for it; one that does not end in time
// is killed.
func (i *instance) stop(s syscall.Signal, grace time.Duration) bool {
	i.signal(s)
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		i.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

// runs tells whether the process is there.
func (i *instance) runs() bool {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}
