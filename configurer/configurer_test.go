package configurer

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// flags returns the flags of all settings.
func flags(s *Settings) *flag.FlagSet {
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	f.SetOutput(&strings.Builder{})
	s.Register(f)
	return f
}

// row is the line of the settings reference for a flag.
func row(one *flag.Flag) string {
	return "| `-" + one.Name + "` | `" + EnvName(one.Name) + "` | " + one.DefValue + " | " + one.Usage + " |"
}

func TestReferenceNamesEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	rows := 0
	flags(&Settings{}).VisitAll(func(one *flag.Flag) {
		rows++
		if !strings.Contains(string(page), row(one)) {
			t.Errorf("docs/settings.md lacks: %s", row(one))
		}
	})
	is.Equal(strings.Count(string(page), "| `-"), rows) // and no other
}

func good() Settings {
	var s Settings
	flags(&s)
	s.Name, s.DataCentre, s.GroupKeyFile, s.InsecurePlaintext = "i1", "dc1", "group.key", true
	return s
}

func TestAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	is.NoErr(good().Validate())
	bad := good()
	bad.Name, bad.FlowAddress, bad.MTU, bad.ElectionTimeout, bad.LogLevel, bad.GroupKeyFile = "", "localhost", 10, bad.HeartbeatInterval, "loud", ""
	var faults *ValidationError
	is.True(errors.As(bad.Validate(), &faults))
	var names []string
	for _, f := range faults.InvalidSettings {
		names = append(names, f.Setting)
	}
	is.Equal(names, []string{"name", "flow-address", "group-key", "mtu", "election", "log-level"})
}

func TestFlagsGoBeforeTheEnvironment(t *testing.T) {
	is := is.New(t)
	var s Settings
	f := flags(&s)
	is.NoErr(f.Parse([]string{"-name", "flag"}))
	environment := map[string]string{"ALMONDPICK_NAME": "environment", "ALMONDPICK_DATA_CENTRE": "dc9", "ALMONDPICK_MTU": "many"}
	err := ApplyEnvironment(f, func(n string) (string, bool) { v, ok := environment[n]; return v, ok })
	var faults *ValidationError
	is.True(errors.As(err, &faults))
	is.Equal(faults.InvalidSettings[0].Setting, "mtu")
	is.Equal(s.Name, "flag")
	is.Equal(s.DataCentre, "dc9")
}
