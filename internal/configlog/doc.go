// Package configlog replicates the configuration from the log to a host. Follower
// reads the log, or receives records and snapshots from peers, and applies them to
// a revision.State. Writer appends proposals, CheckpointWriter appends checkpoints.
package configlog
