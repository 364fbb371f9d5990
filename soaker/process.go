package soaker

import (
	"errors"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"almondpick/configurer"
	"almondpick/platform"
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
	offset time.Duration // of its time of day, from the next start on

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	busy  bool // a fault has it
}

func (i *instance) flowAddress() netip.AddrPort { return netip.AddrPortFrom(i.own, callerPort) }
func (i *instance) probeAddress() string        { return netip.AddrPortFrom(i.own, readyPort).String() }
func (i *instance) controlAddress() string      { return netip.AddrPortFrom(i.own, controlPort).String() }

// settings writes the settings file.
func (i *instance) settings(seeds []string, first bool) error {
	n := configurer.NodeSettings{
		Name: i.ip.String(), DisplayName: i.name, DataCentre: i.zone, FirstStart: first, TargetAnnounceInterval: heartbeat,
		ToleratedInstanceLosses: 1, StopGracePeriod: stopGrace,
	}
	if i.store {
		n.OperatorAddress = i.controlAddress()
		n.DataFolder = filepath.Join(i.folder, "data")
	} else {
		n.FlowAddress, n.ReadyAddress = i.flowAddress().String(), i.probeAddress()
	}
	b, err := platform.EncodeSettings(n, peerPort, seeds)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(i.folder, "node.yaml"), b, 0o600)
}

// diskFault returns the file that says what is wrong with the disk.
func (i *instance) diskFault() string { return filepath.Join(i.folder, "disk-fault") }

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
	//nolint:gosec // the program is the one that plays the soak
	cmd := exec.Command(program, "node", "-peer-listen", i.peerListen().String(),
		"-clock-offset", i.offset.String(), "-disk-fault", i.diskFault())
	cmd.Env = append(os.Environ(), platform.SettingsFileVariable+"="+filepath.Join(i.folder, "node.yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	// The process has the file open itself once it has started.
	if err := errors.Join(cmd.Start(), log.Close()); err != nil {
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
func (i *instance) stop(s syscall.Signal) bool {
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
	case <-time.After(stopGrace):
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
