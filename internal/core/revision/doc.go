// Package revision decides which configuration is active. It applies the
// records of the append-only log in offset order, so that every host that has
// applied the log up to the same offset has the same revision and chain hash.
//
// State is a pure function of the log prefix. That holds for everything a
// snapshot contains, including the incomplete chunk sequence, because a reader
// that adopts a snapshot must decide about later records like a reader that
// applied the whole prefix. A snapshot is adopted with its AsOf, and the
// records after AsOf are applied next; the place where a checkpoint appears in
// the log has no meaning.
//
// The rules are part of the log's format. A change of a rule, including a
// change of document validation, needs a new record or document format, so
// that older builds stop instead of deciding differently.
package revision
