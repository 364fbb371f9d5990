package planner

// Code is the kind of a refusal. Operators' tools match on it.
type Code string

// The refusal codes.
const (
	CodeBadField       Code = "bad-field"
	CodeExists         Code = "exists"
	CodeNotFound       Code = "not-found"
	CodeTaken          Code = "taken"
	CodeStalePlan      Code = "stale-plan"
	CodeUnknownPlan    Code = "unknown-plan"
	CodeIntentReused   Code = "intent-reused"
	CodeWaitsForFence  Code = "waits-for-fence"
	CodeNoLeader       Code = "no-leader"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeTooFewVoters   Code = "too-few-voters"
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
