// Package step implements training steps and the service from which trainers pull
// their samples. The identity of a sample is (trainer, step, group, index). A step
// has one owner at a time. Each pull lists the samples that the trainer holds, and
// that list decides which samples remain to be delivered.
package step
