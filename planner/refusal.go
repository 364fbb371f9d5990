package planner

// Code is the kind of a refusal. Operators' tools match on it.
type Code string

// The refusal codes.
const (
	CodeBadField       Code = "bad-field"
	CodeExists         Code = "exists"          // the service or voter to add exists
	CodeNotFound       Code = "not-found"       // there is no such service, instance or voter
	CodeTaken          Code = "taken"           // another service has the name or address
	CodeStalePlan      Code = "stale-plan"      // another plan was confirmed since the plan was created
	CodeUnknownPlan    Code = "unknown-plan"    // no plan with this ID is stored
	CodeIntentReused   Code = "intent-reused"   // the intent ID was used with other content
	CodeWaitsForFence  Code = "waits-for-fence" // an instance may still map the address to another service
	CodeNoLeader       Code = "no-leader"       // no leader is known; the command was not proposed
	CodeOutcomeUnknown Code = "outcome-unknown" // the command may or may not be committed; it can be sent again
	CodeTooFewVoters   Code = "too-few-voters"  // removing the voter would leave fewer than MinVoters
)

// Refusal is the error for an intent or a confirmation that is not accepted. It is sent to
// the operator unchanged. Field, Value and Allowed name the field at fault, its value and
// the values that are allowed.
type Refusal struct {
	Code    Code   `cbor:"code" json:"code"`
	Field   string `cbor:"field" json:"field,omitempty"`
	Value   string `cbor:"value" json:"value,omitempty"`
	Allowed string `cbor:"allowed" json:"allowed,omitempty"`
	// FreshPlan is the current plan for the same intent, when the confirmed plan is stale.
	FreshPlan *Plan `cbor:"fresh" json:"fresh,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	text := string(r.Code)
	if r.Field != "" {
		text += ": " + r.Field
	}
	if r.Value != "" {
		text += " is " + r.Value
	}
	if r.Allowed != "" {
		text += "; allowed: " + r.Allowed
	}
	if r.FreshPlan != nil {
		text += "; fresh plan: " + r.FreshPlan.ID
	}
	return text
}

func badField(field, value, allowed string) error {
	return &Refusal{Code: CodeBadField, Field: field, Value: value, Allowed: allowed}
}
