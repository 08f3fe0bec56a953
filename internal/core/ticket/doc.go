// Package ticket implements idempotency tickets. A non-idempotent request that
// carries a ticket runs at most once, even if its caller repeats it.
//
// A ticket contains its issuer (the incarnation of a host), a serial number and an
// expiry. It is authenticated by a key that only the issuer knows. A Table admits
// a ticket once, stores the outcome until the ticket expires and returns it for
// repeated requests. Outcomes are never evicted early: when the table is full, it
// issues no more tickets.
//
// # Admission authority
//
// At any time, at most one Table admits the tickets of an issuer. Close permanently
// ends this authority and sets the incarnation of the only successor. Export is
// possible only after Close, and only that incarnation accepts the Import. A
// restarted successor has a different incarnation and rejects the import, because
// its predecessor may already have admitted tickets. After the process was
// suspended, Resume ends the authority without a successor, so requests whose
// tickets were never admitted are certain not to run.
//
// # Clocks
//
// An expired ticket is never admitted, because its outcome may have been removed.
// The time of a Table never decreases, and an export contains the time of the
// leaving host. A successor whose clock is behind therefore does not admit a ticket
// whose outcome the leaving host has removed.
//
// # Handover
//
// Close takes a snapshot, which Export returns in chunks of limited size. A repeated
// export returns the same chunks, so chunks of different attempts can be combined.
// Requests that are running at Close complete on the leaving host. Their outcomes
// are sent in updates, which may be repeated without effect.
//
// The types do no I/O, do not read the clock and are not safe for concurrent use.
package ticket
