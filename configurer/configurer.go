// Package configurer reads the settings of an instance from flags and environment
// variables and checks them all in one place.
package configurer

import (
	"flag"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Prefix begins the name of every environment variable. The rest is the name of
// the flag in capitals, with "_" for "-".
const EnvPrefix = "ALMONDPICK_"

// Settings are the settings of an instance.
type Settings struct {
	Name              string
	DataCentre        string
	FabricGroup       string
	FlowAddress       string
	PeerAddress       string
	RequestAddress    string
	OperatorAddress   string
	StatusAddress     string
	Seeds             string
	DataFolder        string
	Voters            string
	FirstStart        bool
	CACertFile        string
	CertFile          string
	KeyFile           string
	GroupKeyFile      string
	InsecurePlaintext bool
	MTU               int
	ReplicationBudget int
	ReplicationWindow time.Duration
	FlowLimit         int
	HintLimit         int
	ReplicaLimit      int
	Workers           int
	MaxBodySize       int64
	BaseLag           time.Duration
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	StopTimeout       time.Duration
	LogLevel          string
	DebugSubsystems   string
	Pprof             bool
}

// Register adds the flags of all settings, with their defaults, to a flag set.
func (s *Settings) Register(f *flag.FlagSet) {
	f.StringVar(&s.Name, "name", "", "name of this instance, unique in the deployment")
	f.StringVar(&s.DataCentre, "data-centre", "", "data centre that this instance is in")
	f.StringVar(&s.FabricGroup, "fabric-group", "all", "instances that one fabric sprays packets over")
	f.StringVar(&s.FlowAddress, "flow-address", "127.0.0.1:6081", "UDP address of the flow door")
	f.StringVar(&s.PeerAddress, "peer-address", "127.0.0.1:6082", "UDP and TCP address of the peer door")
	f.StringVar(&s.RequestAddress, "request-address", "127.0.0.1:8080", "TCP address of the request door")
	f.StringVar(&s.OperatorAddress, "operator-address", "127.0.0.1:6083", "TCP address of the operator door")
	f.StringVar(&s.StatusAddress, "status-address", "127.0.0.1:6084", "TCP address for announcements, metrics and health")
	f.StringVar(&s.Seeds, "seeds", "", "peer addresses of other instances, separated by commas")
	f.StringVar(&s.DataFolder, "data-folder", "", "folder for durable state; without one the instance cannot vote")
	f.StringVar(&s.Voters, "voters", "", "instances that vote at the first start of the deployment, separated by commas")
	f.BoolVar(&s.FirstStart, "first-start", false, "begin a new deployment if no other instance has a configuration")
	f.StringVar(&s.CACertFile, "authority", "", "certificate of the authority")
	f.StringVar(&s.CertFile, "certificate", "", "certificate of this instance")
	f.StringVar(&s.KeyFile, "key", "", "key of the certificate")
	f.StringVar(&s.GroupKeyFile, "group-key", "", "file with the key that instances share")
	f.BoolVar(&s.InsecurePlaintext, "insecure-plaintext", false, "run the peer and operator doors without TLS")
	f.IntVar(&s.MTU, "mtu", 1500, "largest IP packet to targets and instances, in bytes")
	f.IntVar(&s.ReplicationBudget, "replication-budget", 3072, "bytes a second for replicas of flows")
	f.DurationVar(&s.ReplicationWindow, "replication-window", 0, "age from which an exceptional flow is replicated")
	f.IntVar(&s.FlowLimit, "flow-limit", 1<<20, "most flows that this instance owns")
	f.IntVar(&s.HintLimit, "hint-limit", 1<<20, "most flows of other owners that are remembered")
	f.IntVar(&s.ReplicaLimit, "replica-limit", 1<<18, "most replicas that are kept for others")
	f.IntVar(&s.Workers, "workers", 4096, "most requests that are served at a time")
	f.Int64Var(&s.MaxBodySize, "max-body", 64<<20, "largest body of a request, in bytes")
	f.DurationVar(&s.BaseLag, "base-lag", 30*time.Second, "time before the base set follows the fit targets")
	f.DurationVar(&s.HeartbeatInterval, "heartbeat", 300*time.Millisecond, "interval of the leader's heartbeats")
	f.DurationVar(&s.ElectionTimeout, "election", 1200*time.Millisecond, "shortest time without a leader before an election")
	f.DurationVar(&s.StopTimeout, "stop-timeout", 30*time.Second, "most time that a planned stop takes")
	f.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	f.StringVar(&s.DebugSubsystems, "log-output", "", "subsystems that log at debug level, separated by commas")
	f.BoolVar(&s.Pprof, "pprof", false, "serve profiles at the status address")
}

// FromEnvironment sets the flags that were not given from environment variables.
// It returns a *Faults with one entry for each variable that cannot be read.
func ApplyEnvironment(f *flag.FlagSet, lookup func(string) (string, bool)) error {
	given := make(map[string]bool)
	f.Visit(func(one *flag.Flag) { given[one.Name] = true })
	var faults ValidationError
	f.VisitAll(func(one *flag.Flag) {
		value, ok := lookup(EnvName(one.Name))
		if !ok || given[one.Name] {
			return
		}
		if err := f.Set(one.Name, value); err != nil {
			faults.add(one.Name, value, "a value of the right type")
		}
	})
	return faults.orNil()
}

// Environment looks a variable up in the environment of the process.
func LookupEnv(name string) (string, bool) {
	return os.LookupEnv(name)
}

// Variable returns the name of the environment variable of a flag.
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Fault is one setting that is out of its range.
type InvalidSetting struct {
	Setting string
	Value   string
	Allowed string
}

// Faults are all the settings that are out of their range.
type ValidationError struct {
	InvalidSettings []InvalidSetting
}

func (f *ValidationError) add(setting, value, allowed string) {
	f.InvalidSettings = append(f.InvalidSettings, InvalidSetting{Setting: setting, Value: value, Allowed: allowed})
}

func (f *ValidationError) orNil() error {
	if len(f.InvalidSettings) == 0 {
		return nil
	}
	return f
}

// Error implements error.
func (f *ValidationError) Error() string {
	var b strings.Builder
	b.WriteString("settings out of range:")
	for _, one := range f.InvalidSettings {
		b.WriteString("\n  -" + one.Setting + " is " + strconv.Quote(one.Value) + "; allowed: " + one.Allowed)
	}
	return b.String()
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

const nameRule = "1 to 63 letters, digits, '.', '_' and '-'"

// Validate checks every setting and returns a *Faults with all that are wrong.
func (s Settings) Validate() error {
	var f ValidationError
	for _, one := range []struct{ setting, value string }{{"name", s.Name}, {"data-centre", s.DataCentre}, {"fabric-group", s.FabricGroup}} {
		if !namePattern.MatchString(one.value) {
			f.add(one.setting, one.value, nameRule)
		}
	}
	s.validateAddresses(&f)
	s.validateVoters(&f)
	s.validateKeys(&f)
	s.validateNumbers(&f)
	s.validateTimes(&f)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		f.add("log-level", s.LogLevel, "debug, info, warn or error")
	}
	return f.orNil()
}

func (s Settings) validateAddresses(f *ValidationError) {
	addresses := []struct{ setting, value string }{
		{"flow-address", s.FlowAddress},
		{"peer-address", s.PeerAddress},
		{"request-address", s.RequestAddress},
		{"operator-address", s.OperatorAddress},
		{"status-address", s.StatusAddress},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			f.add(a.setting, a.value, "IP:port")
		}
	}
	for _, seed := range SplitList(s.Seeds) {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			f.add("seeds", seed, "IP:port, separated by commas")
		}
	}
}

func (s Settings) validateVoters(f *ValidationError) {
	voters := SplitList(s.Voters)
	if s.FirstStart && (len(voters) < 1 || len(voters) > 7) {
		f.add("voters", s.Voters, "1 to 7 names with -first-start")
	}
	if s.FirstStart && slices.Contains(voters, s.Name) && s.DataFolder == "" {
		f.add("data-folder", s.DataFolder, "a folder, for an instance that votes")
	}
	for _, v := range voters {
		if !namePattern.MatchString(v) {
			f.add("voters", v, nameRule)
		}
	}
}

func (s Settings) validateKeys(f *ValidationError) {
	if s.GroupKeyFile == "" {
		f.add("group-key", s.GroupKeyFile, "a file made by 'almondpick keys init'")
	}
	if s.InsecurePlaintext {
		return
	}
	for _, one := range []struct{ setting, value string }{{"authority", s.CACertFile}, {"certificate", s.CertFile}, {"key", s.KeyFile}} {
		if one.value == "" {
			f.add(one.setting, one.value, "a file made by 'almondpick keys', or -insecure-plaintext")
		}
	}
}

func (s Settings) validateNumbers(f *ValidationError) {
	numbers := []struct {
		setting    string
		value      int64
		least, top int64
	}{
		{"mtu", int64(s.MTU), 1280, 65535},
		{"replication-budget", int64(s.ReplicationBudget), 512, 1 << 30},
		{"flow-limit", int64(s.FlowLimit), 1, 1 << 26},
		{"hint-limit", int64(s.HintLimit), 1, 1 << 26},
		{"replica-limit", int64(s.ReplicaLimit), 1, 1 << 26},
		{"workers", int64(s.Workers), 1, 1 << 20},
		{"max-body", s.MaxBodySize, 0, 1 << 40},
	}
	for _, n := range numbers {
		if n.value < n.least || n.value > n.top {
			f.add(n.setting, strconv.FormatInt(n.value, 10), strconv.FormatInt(n.least, 10)+" to "+strconv.FormatInt(n.top, 10))
		}
	}
}

func (s Settings) validateTimes(f *ValidationError) {
	times := []struct {
		setting           string
		value, least, top time.Duration
	}{
		{"replication-window", s.ReplicationWindow, 0, time.Minute},
		{"base-lag", s.BaseLag, 0, time.Hour},
		{"heartbeat", s.HeartbeatInterval, 20 * time.Millisecond, 10 * time.Second},
		{"election", s.ElectionTimeout, 4 * s.HeartbeatInterval, time.Minute},
		{"stop-timeout", s.StopTimeout, time.Second, time.Hour},
	}
	for _, t := range times {
		if t.value < t.least || t.value > t.top {
			f.add(t.setting, t.value.String(), t.least.String()+" to "+t.top.String())
		}
	}
}

// List splits a setting that holds several values.
func SplitList(text string) []string {
	var out []string
	for _, one := range strings.Split(text, ",") {
		if one = strings.TrimSpace(one); one != "" {
			out = append(out, one)
		}
	}
	return out
}
