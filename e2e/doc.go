// Package e2e tests the guarantees under failures, with each program of the project running as its
// own process. The numbers of guarantees in its comments are those of the table in docs/PROOFS.md.
// The package contains only tests, which `make test` runs and short mode skips.
package e2e
