// Package rollout implements weight rollouts. An accepted rollout updates all replicas
// of a model to one weight version: in each failure domain one owner stages the version
// on every replica, and when all domains are ready each owner activates it. An order
// names the target version, carries a fencing number, and is verified by reading the
// engine's state back. An owner can therefore be replaced at any point.
package rollout
