// Package discovery keeps a host's copy of the registry current: the
// configuration in force, the targets and the hosts.
//
// The region's coordinator reads the store and tells the other hosts in its
// beacons how far it has got and how old that is; they pull what they lack from the
// host that sent or passed on the beacon. While the coordinator cannot read, a few
// other hosts do, so that the calls do not grow with the hosts; a host that alone
// lacks what the coordinator has reads for itself. Reads that fail are repeated with
// increasing pauses: calls are priced also while the store is down.
//
// A configuration never gets older within the life of a process.
package discovery
