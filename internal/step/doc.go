// Package step is the aggregate of a training step and the service that lets
// trainers pull its samples. The identity of a sample is (trainer, step, group,
// index). A step has one owner at a time; the trainer's own account of what it
// holds, which travels with each pull, decides what is still to be delivered.
package step
