// Package configlog keeps a host's configuration up to date. Follower reads the
// log, or takes records and snapshots from peers, and applies them to a
// revision.State. Writer appends proposals and CheckpointWriter appends
// checkpoints.
package configlog
