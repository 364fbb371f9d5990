package configurer

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// newFlagSet returns the flags of all settings; s gets their values.
func newFlagSet(s *Settings) *flag.FlagSet {
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	f.SetOutput(&strings.Builder{})
	s.RegisterFlags(f)
	return f
}

// settingsPageRow returns the table row for a flag in docs/settings.md.
func settingsPageRow(setting *flag.Flag) string {
	return "| `-" + setting.Name + "` | `" + EnvName(setting.Name) + "` | " + setting.DefValue + " | " + setting.Usage + " |"
}

func TestSettingsPageListsEveryFlag(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	rows := 0
	newFlagSet(&Settings{}).VisitAll(func(setting *flag.Flag) {
		rows++
		if !strings.Contains(string(page), settingsPageRow(setting)) {
			t.Errorf("docs/settings.md lacks: %s", settingsPageRow(setting))
		}
	})
	is.Equal(strings.Count(string(page), "| `-"), rows) // the page lists no other flags
}

func validSettings() Settings {
	var s Settings
	newFlagSet(&s)
	s.Name, s.DataCentre, s.GroupKeyFile, s.InsecurePlaintext = "i1", "dc1", "group.key", true
	return s
}

func TestValidateReportsAllInvalidSettings(t *testing.T) {
	is := is.New(t)
	is.NoErr(validSettings().Validate())
	settings := validSettings()
	settings.Name, settings.FlowAddress, settings.MTU, settings.ElectionTimeout, settings.LogLevel, settings.GroupKeyFile = "", "localhost", 10, settings.HeartbeatInterval, "loud", ""
	var invalid *ValidationError
	is.True(errors.As(settings.Validate(), &invalid))
	var names []string
	for _, f := range invalid.InvalidSettings {
		names = append(names, f.Setting)
	}
	is.Equal(names, []string{"name", "flow-address", "group-key", "mtu", "election", "log-level"})
}

func TestFlagsOverrideTheEnvironment(t *testing.T) {
	is := is.New(t)
	var s Settings
	f := newFlagSet(&s)
	is.NoErr(f.Parse([]string{"-name", "flag"}))
	environment := map[string]string{"ALMONDPICK_NAME": "environment", "ALMONDPICK_DATA_CENTRE": "dc9", "ALMONDPICK_MTU": "many"}
	err := ApplyEnvironment(f, func(n string) (string, bool) { v, ok := environment[n]; return v, ok })
	var invalid *ValidationError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.InvalidSettings[0].Setting, "mtu")
	is.Equal(s.Name, "flag")
	is.Equal(s.DataCentre, "dc9")
}
