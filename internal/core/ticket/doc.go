// Package ticket makes a non-idempotent request run at most once although its
// caller repeats it.
//
// A ticket names its issuer (a host's incarnation), a serial number and an
// expiry, and is authenticated by a key that only the issuer knows. A Table
// admits a ticket once, stores the outcome until the ticket expires and
// returns it to repeats. Nothing is dropped earlier: when the table is full it
// issues no more tickets.
//
// # Who may admit
//
// At any time at most one Table admits an issuer's tickets. Close ends the
// right for good and names one successor incarnation; Export is possible only
// after that, and only the named incarnation accepts the Import. A restarted
// successor has another incarnation and refuses it, because its predecessor
// may have admitted tickets already. After a pause, Resume ends the right
// without a successor, so tickets that were never admitted are truly not run.
//
// # Clocks
//
// An expired ticket is never admitted, because its outcome may have been
// dropped. A Table never moves its time back, and an export carries the leaving
// host's time, so a successor whose clock is behind does not admit a ticket
// whose outcome the leaving host has dropped.
//
// # Hand-over
//
// Close freezes a snapshot, which Export cuts into chunks of bounded size. A
// repeated export consists of the same chunks, so chunks of two tries can be
// mixed. Requests that run at Close end at the leaving host; their outcomes
// follow as updates, which apply once.
//
// All types are pure and not safe for concurrent use.
package ticket
