// Package rollout is the aggregate of weight rollouts. A rollout that is
// accepted brings all replicas of a model to one version: in each failure
// domain one owner stages it on every replica, and when all domains are ready
// each owner activates it. Orders are absolute, fenced and read back, so that
// an owner can be replaced at any point.
package rollout
