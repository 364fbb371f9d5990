package planner

import (
	"maps"
	"strconv"
)

// maxDataCentreNameSize is the maximum size of the name of a data centre in a command.
const maxDataCentreNameSize = 255 // bytes; bounds what an order adds to the state for good

// Evacuation says whether the targets of a data centre get no new work. The entry of a data
// centre stays after its evacuation was withdrawn, so that commands based on an older state are
// recognised.
type Evacuation struct {
	InForce    bool   `cbor:"in-force" json:"in-force"`
	LastChange uint64 `cbor:"changed" json:"changed"` // log index of the command that last changed InForce
}

// SetEvacuation is the command that evacuates a data centre or withdraws that. It changes nothing
// if the data centre was changed after LastChange: the two orders were concurrent, and the other
// one counts as the later one. LastChange is 0 for a data centre that was never evacuated.
type SetEvacuation struct {
	DataCentre string `cbor:"data-centre"`
	Evacuated  bool   `cbor:"evacuated"`
	LastChange uint64 `cbor:"last-change"`
}

// Validate returns a *Refusal if the name of the data centre is missing or too long.
func (s SetEvacuation) Validate() error {
	if s.DataCentre == "" || len(s.DataCentre) > maxDataCentreNameSize {
		return badField("evacuation.data-centre", strconv.Itoa(len(s.DataCentre))+" bytes", "1 to "+strconv.Itoa(maxDataCentreNameSize)+" bytes")
	}
	return nil
}

// Evacuated reports whether a data centre is evacuated.
func (c Config) Evacuated(dataCentre string) bool {
	return len(c.Evacuations) > 0 && c.Evacuations[dataCentre].InForce
}

// WithEvacuation returns the configuration with the evacuation of a data centre replaced.
func (c Config) WithEvacuation(dataCentre string, e Evacuation) Config {
	c.Evacuations = maps.Clone(c.Evacuations)
	if c.Evacuations == nil {
		c.Evacuations = make(map[string]Evacuation)
	}
	c.Evacuations[dataCentre] = e
	return c
}

// setEvacuation applies the command. The new version of the configuration makes all instances fetch
// it; a command without effect must not change the version.
func (m *StateMachine) setEvacuation(s SetEvacuation) {
	known := m.config.Evacuations[s.DataCentre]
	if known.LastChange != s.LastChange || known.InForce == s.Evacuated {
		return
	}
	m.config = m.config.WithEvacuation(s.DataCentre, Evacuation{InForce: s.Evacuated, LastChange: m.appliedIndex})
	m.config.Version = m.appliedIndex
}
