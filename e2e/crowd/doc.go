// Package crowds holds tests in which a small crowd of clients outside the published limits meets
// one process with a small memory. Each test starts real processes on loopback and checks only what
// does not depend on the speed of the machine: the process lives, its memory and descriptors stay
// within its settings, and an ordinary request is answered while the crowd is still connected. The
// tests run one at a time.
package crowds
