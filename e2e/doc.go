// Package e2e proves the promises under failure with the real programs, each a
// process of its own. It holds tests only; they run in make test and not in
// short mode.
package e2e
