// Package revision decides which configuration is active. It applies the
// records of the append-only log in offset order, so that every host that has
// applied the log up to the same offset has the same revision and chain hash.
//
// State is a pure function of the log prefix. This covers everything in a
// snapshot, including the incomplete chunk sequence, because a reader that
// adopts a snapshot must decide later records like a reader that applied the
// whole prefix. After adopting a snapshot, a reader applies the records that
// follow the snapshot's AsOf; the offset of the checkpoint record itself has no
// meaning.
//
// The decision rules are part of the log format. Changing a rule, including
// document validation, requires a new record or document format, so that older
// builds stop instead of deciding differently.
package revision
