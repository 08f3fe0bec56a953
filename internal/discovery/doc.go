// Package discovery replicates the registry to a host: the active configuration, the
// targets and the hosts.
//
// The region's coordinator reads the store and announces in its beacons the version and
// the age of its copy. The other hosts pull what they lack from the host that sent or
// forwarded the beacon. While the coordinator cannot read the store, a few other hosts
// do, so that the number of store calls does not grow with the number of hosts. A host
// that alone lacks the coordinator's data reads the store itself. Failed reads are
// retried with increasing delays, because each call adds to the operating cost, even
// while the store is down (docs/decisions/013-start-and-dissemination.md).
//
// The configuration version never decreases during the lifetime of a process.
package discovery
