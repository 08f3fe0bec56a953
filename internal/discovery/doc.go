// Package discovery keeps a host's copy of the registry current: the
// configuration in force, the targets and the hosts.
//
// The region's coordinator reads the store and tells the other hosts in its
// beacons how far it has got and how old that is; they pull what they lack from
// it. A host whose copy gets too old reads the store itself, so that it depends on
// no other host to keep up, and tells the coordinator when it succeeded. Reads
// that fail are repeated with increasing pauses: calls are priced also while the
// store is down.
//
// A configuration never gets older within the life of a process.
package discovery
