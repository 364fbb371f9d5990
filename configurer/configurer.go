// Package configurer defines the settings of an instance, reads them from flags and
// environment variables and validates them.
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

// EnvPrefix is the prefix of the names of all environment variables. The rest of a name is
// that of the flag in upper case, with "_" for "-".
const EnvPrefix = "ALMONDPICK_"

// Settings are the settings of an instance that the serve command runs. RegisterFlags describes
// each of them in the text of its flag. Seeds, Voters and DebugSubsystems are lists that
// SplitList reads.
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

// RegisterFlags adds the flags of all settings, with their defaults, to a flag set.
func (s *Settings) RegisterFlags(f *flag.FlagSet) {
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

// ApplyEnvironment sets the flags that are not set on the command line from environment
// variables. It returns a *ValidationError with an entry for each variable whose value
// cannot be parsed.
func ApplyEnvironment(f *flag.FlagSet, lookup func(string) (string, bool)) error {
	setOnCommandLine := make(map[string]bool)
	f.Visit(func(setting *flag.Flag) { setOnCommandLine[setting.Name] = true })
	var e ValidationError
	f.VisitAll(func(setting *flag.Flag) {
		value, ok := lookup(EnvName(setting.Name))
		if !ok || setOnCommandLine[setting.Name] {
			return
		}
		if err := f.Set(setting.Name, value); err != nil {
			e.add(setting.Name, value, "a value of the right type")
		}
	})
	return e.errOrNil()
}

// LookupEnv returns the value of an environment variable of the process, and whether it is
// set.
func LookupEnv(name string) (string, bool) {
	return os.LookupEnv(name)
}

// EnvName returns the name of the environment variable of a flag.
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// InvalidSetting describes a setting whose value is not allowed.
type InvalidSetting struct {
	Setting string // name of the flag, without "-"
	Value   string
	Allowed string // description of the allowed values
}

// ValidationError reports all settings whose values are not allowed.
type ValidationError struct {
	InvalidSettings []InvalidSetting
}

func (e *ValidationError) add(setting, value, allowed string) {
	e.InvalidSettings = append(e.InvalidSettings, InvalidSetting{Setting: setting, Value: value, Allowed: allowed})
}

// errOrNil returns e as an error, or nil if e has no invalid settings.
func (e *ValidationError) errOrNil() error {
	if len(e.InvalidSettings) == 0 {
		return nil
	}
	return e
}

// Error implements error.
func (e *ValidationError) Error() string {
	var b strings.Builder
	b.WriteString("settings out of range:")
	for _, invalid := range e.InvalidSettings {
		b.WriteString("\n  -" + invalid.Setting + " is " + strconv.Quote(invalid.Value) + "; allowed: " + invalid.Allowed)
	}
	return b.String()
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

const nameFormat = "1 to 63 letters, digits, '.', '_' and '-'"

// Validate checks all settings. It returns a *ValidationError that lists each invalid one.
func (s Settings) Validate() error {
	var e ValidationError
	for _, field := range []struct{ setting, value string }{{"name", s.Name}, {"data-centre", s.DataCentre}, {"fabric-group", s.FabricGroup}} {
		if !namePattern.MatchString(field.value) {
			e.add(field.setting, field.value, nameFormat)
		}
	}
	s.validateAddresses(&e)
	s.validateVoters(&e)
	s.validateKeys(&e)
	s.validateNumbers(&e)
	s.validateDurations(&e)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		e.add("log-level", s.LogLevel, "debug, info, warn or error")
	}
	return e.errOrNil()
}

func (s Settings) validateAddresses(e *ValidationError) {
	addresses := []struct{ setting, value string }{
		{"flow-address", s.FlowAddress},
		{"peer-address", s.PeerAddress},
		{"request-address", s.RequestAddress},
		{"operator-address", s.OperatorAddress},
		{"status-address", s.StatusAddress},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			e.add(a.setting, a.value, "IP:port")
		}
	}
	for _, seed := range SplitList(s.Seeds) {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			e.add("seeds", seed, "IP:port, separated by commas")
		}
	}
}

func (s Settings) validateVoters(e *ValidationError) {
	voters := SplitList(s.Voters)
	if s.FirstStart && (len(voters) < 1 || len(voters) > 7) {
		e.add("voters", s.Voters, "1 to 7 names with -first-start")
	}
	if s.FirstStart && slices.Contains(voters, s.Name) && s.DataFolder == "" {
		e.add("data-folder", s.DataFolder, "a folder, for an instance that votes")
	}
	for _, v := range voters {
		if !namePattern.MatchString(v) {
			e.add("voters", v, nameFormat)
		}
	}
}

func (s Settings) validateKeys(e *ValidationError) {
	if s.GroupKeyFile == "" {
		e.add("group-key", s.GroupKeyFile, "a file made by 'almondpick keys init'")
	}
	if s.InsecurePlaintext {
		return
	}
	for _, field := range []struct{ setting, value string }{{"authority", s.CACertFile}, {"certificate", s.CertFile}, {"key", s.KeyFile}} {
		if field.value == "" {
			e.add(field.setting, field.value, "a file made by 'almondpick keys', or -insecure-plaintext")
		}
	}
}

func (s Settings) validateNumbers(e *ValidationError) {
	numbers := []struct {
		setting         string
		value           int64
		lowest, highest int64
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
		if n.value < n.lowest || n.value > n.highest {
			e.add(n.setting, strconv.FormatInt(n.value, 10), strconv.FormatInt(n.lowest, 10)+" to "+strconv.FormatInt(n.highest, 10))
		}
	}
}

func (s Settings) validateDurations(e *ValidationError) {
	durations := []struct {
		setting                string
		value, lowest, highest time.Duration
	}{
		{"replication-window", s.ReplicationWindow, 0, time.Minute},
		{"base-lag", s.BaseLag, 0, time.Hour},
		{"heartbeat", s.HeartbeatInterval, 20 * time.Millisecond, 10 * time.Second},
		{"election", s.ElectionTimeout, 4 * s.HeartbeatInterval, time.Minute},
		{"stop-timeout", s.StopTimeout, time.Second, time.Hour},
	}
	for _, t := range durations {
		if t.value < t.lowest || t.value > t.highest {
			e.add(t.setting, t.value.String(), t.lowest.String()+" to "+t.highest.String())
		}
	}
}

// SplitList splits the value of a setting at commas, and drops spaces around the items and
// empty items.
func SplitList(text string) []string {
	var out []string
	for _, value := range strings.Split(text, ",") {
		if value = strings.TrimSpace(value); value != "" {
			out = append(out, value)
		}
	}
	return out
}
