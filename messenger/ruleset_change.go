package messenger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondpick/planner"
)

// EncodeRulesetChange returns a change in the format of AppliedCommand.RulesetChange: CBOR,
// compressed if it is large. It returns an encoding or compression error.
func EncodeRulesetChange(c planner.RulesetChange) ([]byte, error) {
	plain, err := cbor.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode ruleset change")
	}
	return CompressLarge(plain)
}

// DecodeRulesetChange reverses EncodeRulesetChange. It returns a decoding error, a
// *CommandSizeError or the error of the change's Validate method.
func DecodeRulesetChange(data []byte) (planner.RulesetChange, error) {
	var c planner.RulesetChange
	plain, err := Decompress(data)
	if err != nil {
		return c, err
	}
	err = Decode(plain, &c)
	return c, err
}
