// Package account contains the client accounts of the operator's configuration and the
// keys with which their requests prove who sent them.
package account

import (
	"strings"
	"unicode"

	"github.com/joomcode/errorx"
)

// Errors of accounts.
var (
	Errors = errorx.NewNamespace("account")
	// ErrInvalid means that the accounts of a configuration contradict each other. The text
	// names the account, never a key.
	ErrInvalid = Errors.NewType("invalid")
)

// Account is a client account. It is immutable.
type Account struct {
	Name string
	// Priority, if HasPriority is set, goes before the priority of a request's route; zero
	// is the most urgent.
	Priority    int
	HasPriority bool
}

// PriorityOver returns the priority of the account's requests on a route with the given
// priority.
func (a *Account) PriorityOver(routePriority int) int {
	if a == nil || !a.HasPriority {
		return routePriority
	}
	return a.Priority
}

// Definition is an account with its keys, as a configuration lists it.
type Definition struct {
	Account
	Keys []string
}

// Directory finds accounts by key and by name. It is immutable and safe for concurrent use.
type Directory struct {
	byKey  map[string]*Account
	byName map[string]*Account
}

// NewDirectory returns the directory of the given accounts. It returns ErrInvalid if a name
// or a key is empty or occurs twice, or a name contains control characters.
func NewDirectory(definitions []Definition) (*Directory, error) {
	d := &Directory{byKey: map[string]*Account{}, byName: make(map[string]*Account, len(definitions))}
	for i := range definitions {
		if err := d.add(&definitions[i], i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// add adds one account with its keys. index is its position in the configuration.
func (d *Directory) add(definition *Definition, index int) error {
	a := &definition.Account
	if a.Name == "" {
		return ErrInvalid.New("account %d has no name", index)
	}
	if strings.ContainsFunc(a.Name, unicode.IsControl) {
		return ErrInvalid.New("account %d: the name %q contains a control character", index, a.Name)
	}
	if _, exists := d.byName[a.Name]; exists {
		return ErrInvalid.New("account %q occurs twice", a.Name)
	}
	d.byName[a.Name] = a
	for n, key := range definition.Keys {
		if key == "" {
			return ErrInvalid.New("account %q: key %d is empty", a.Name, n)
		}
		if other, exists := d.byKey[key]; exists {
			return ErrInvalid.New("account %q: key %d is also a key of account %q", a.Name, n, other.Name)
		}
		d.byKey[key] = a
	}
	return nil
}

// Find returns the account with the given name. A nil directory has none.
func (d *Directory) Find(name string) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	a, ok := d.byName[name]
	return a, ok
}
