package account

import "github.com/joomcode/errorx"

// Errors of requests that are refused for their key. Their texts contain no key.
var (
	// ErrNoKey means that the request has no key and its route requires one.
	ErrNoKey = Errors.NewType("no_key")
	// ErrMalformedKey means that the request does not contain exactly one key in the required
	// form.
	ErrMalformedKey = Errors.NewType("malformed_key")
	// ErrUnknownKey means that the key belongs to no account of the configuration in force.
	ErrUnknownKey = Errors.NewType("unknown_key")
	// ErrUncertain means that this node cannot be sure which keys are valid; nothing ran.
	ErrUncertain = Errors.NewType("uncertain", errorx.Temporary())
)

// Caller is who sent a request. The zero value is the caller of a deployment without
// accounts.
type Caller struct {
	// Checked is true if the configuration has accounts.
	Checked bool
	// Account is the caller's account, or nil if the request needed no key and had none.
	Account *Account
}

// Name returns the name of the caller's account, or an empty string if it has none.
func (c Caller) Name() string {
	if c.Account == nil {
		return ""
	}
	return c.Account.Name
}

// MayUse reports whether the caller may use what an account submitted. An empty owner means
// that it was submitted without an account.
func (c Caller) MayUse(owner string) bool {
	return !c.Checked || owner == "" || owner == c.Name()
}

// Form is the form in which a request presents a key.
type Form int

// Forms in which a request presents a key.
const (
	// Absent means that the request has no key.
	Absent Form = iota
	// Malformed means that the request does not have exactly one key in the required form.
	Malformed
	// Present means that the request has one key.
	Present
)

// Credential is what a request presents as proof of its account. Key is empty unless Form is
// Present.
type Credential struct {
	Form Form
	Key  string
}

// Identify returns the caller that presents the credential, or the error for which the
// request is refused. A public request is never refused. certain reports whether this node
// can be sure that no newer configuration has withdrawn keys; an unsure node does not know
// either that a key is unknown. With ErrUncertain the caller's account is set if its key is
// known here. A nil directory means that there are no accounts.
func (d *Directory) Identify(credential Credential, public, certain bool) (Caller, error) {
	if d == nil {
		return Caller{}, nil
	}
	caller := Caller{Checked: true, Account: d.byKey[credential.Key]} // no account has an empty key
	switch {
	case public:
		return caller, nil
	case credential.Form == Absent:
		return caller, ErrNoKey.New("the request has no key")
	case credential.Form == Malformed:
		return caller, ErrMalformedKey.New("the request does not have exactly one key in the required form")
	case !certain:
		return caller, ErrUncertain.New("this node cannot be sure which keys are valid")
	case caller.Account == nil:
		return caller, ErrUnknownKey.New("the key belongs to no account")
	}
	return caller, nil
}

// Refusal is the reason for which a request was refused for its key.
type Refusal int

// Reasons of refusals.
const (
	RefusedNoKey Refusal = iota
	RefusedMalformed
	RefusedUnknown
	RefusedUncertain
	RefusalCount // number of reasons
)

// refusalErrors holds the error of each reason.
var refusalErrors = [RefusalCount]*errorx.Type{
	RefusedNoKey: ErrNoKey, RefusedMalformed: ErrMalformedKey, RefusedUnknown: ErrUnknownKey, RefusedUncertain: ErrUncertain,
}

// String implements fmt.Stringer. The names are labels of metrics.
func (r Refusal) String() string {
	return [...]string{"no_key", "malformed_key", "unknown_key", "uncertain"}[r]
}

// RefusalOf returns the reason of an error of Identify, and false for any other error.
func RefusalOf(err error) (Refusal, bool) {
	if err == nil {
		return 0, false
	}
	for reason, errorType := range refusalErrors {
		if errorx.IsOfType(err, errorType) {
			return Refusal(reason), true
		}
	}
	return 0, false
}
