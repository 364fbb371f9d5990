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

// Ports. They are the same on all instances, because each has its own IP address.
const (
	callerPort = 18172 // of callers and of the flow sockets of instances
	readyPort  = 18167
	apiPort    = 18166 // of storage instances
	peerPort   = 17720
)

// instance is one process of the program, with a proxy in front of its peer socket.
type instance struct {
	name              string
	dataCentre        string
	isStorageInstance bool       // a storage instance, not a forwarding instance
	advertisedIP      netip.Addr // its name to other instances; the proxy listens there
	listenIP          netip.Addr // the instance itself listens there
	folder            string
	proxy             *proxy
	clockOffset       time.Duration // offset of the wall clock; takes effect at the next start

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has exited; nil before the first start
	claimed bool          // reserved for one fault
}

func (i *instance) flowAddress() netip.AddrPort { return netip.AddrPortFrom(i.listenIP, callerPort) }
func (i *instance) readyAddress() string        { return netip.AddrPortFrom(i.listenIP, readyPort).String() }
func (i *instance) operatorAddress() string     { return netip.AddrPortFrom(i.listenIP, apiPort).String() }

// writeSettings writes the settings file.
func (i *instance) writeSettings(seeds []string, firstStart bool) error {
	node := configurer.NodeSettings{
		Name: i.advertisedIP.String(), DisplayName: i.name, DataCentre: i.dataCentre, DataCentres: dataCentres, FirstStart: firstStart, TargetAnnounceInterval: heartbeatInterval,
		ToleratedInstanceLosses: 1, StopGracePeriod: stopTimeout,
	}
	if i.isStorageInstance {
		node.OperatorAddress = i.operatorAddress()
		node.DataFolder = filepath.Join(i.folder, "data")
	} else {
		node.FlowAddress, node.ReadyAddress = i.flowAddress().String(), i.readyAddress()
	}
	content, err := platform.EncodeSettings(node, peerPort, seeds)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(i.folder, "node.yaml"), content, 0o600)
}

// diskFaultFile returns the path of the control file for a DiskFaultInjector.
func (i *instance) diskFaultFile() string { return filepath.Join(i.folder, "disk-fault") }

// peerListenAddress returns the address of the peer socket, behind the proxy.
// Forwarding instances use the next port.
func (i *instance) peerListenAddress() netip.AddrPort {
	if i.isStorageInstance {
		return netip.AddrPortFrom(i.listenIP, peerPort)
	}
	return netip.AddrPortFrom(i.listenIP, peerPort+1)
}

// start starts the process. Its output is appended to the file "log" in the folder.
func (i *instance) start(programPath string) error {
	log, err := os.OpenFile(filepath.Join(i.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	//nolint:gosec // programPath is set by the command that runs the soak test
	cmd := exec.Command(programPath, "node", "-peer-listen", i.peerListenAddress().String(),
		"-clock-offset", i.clockOffset.String(), "-disk-fault", i.diskFaultFile())
	cmd.Env = append(os.Environ(), platform.SettingsFileVariable+"="+filepath.Join(i.folder, "node.yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	// The process inherits the file, so it can be closed here.
	if err := errors.Join(cmd.Start(), log.Close()); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // only that the process has exited matters, not how
		close(exited)
	}()
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
	return nil
}

// signal sends a signal to the process if it still runs.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	_ = i.cmd.Process.Signal(s) // fails if the process has exited, which is expected
}

// stop sends a signal and waits until the process has exited. After stopTimeout it kills
// the process and returns false.
func (i *instance) stop(s syscall.Signal) bool {
	i.signal(s)
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(stopTimeout):
		i.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// running reports whether the process has not exited. The process must have been started.
func (i *instance) running() bool {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}
