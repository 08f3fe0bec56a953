// Package roster decides which hosts of a region callers are sent to, and which
// host coordinates that. It is pure: reports, beacons and ticks go in, messages
// to send come out.
//
// Every host reports to its coordinator and to the first hosts of its region in an
// order that all hosts share: most processor first. The coordinator knows from the
// reports who lives, chooses the active hosts and tells all hosts of the region in
// its beacons, which relays pass on in a large region. It also reads the store for
// them. It goes on until it leaves or fails; then the first other host in the order
// takes over. Two coordinators at once do no harm: nothing but the choice of hosts
// depends on it, and the first in the order wins wherever both are heard.
//
// A host that starts knows only the addresses of seeds. It reports to them, they
// answer with the hosts to follow, and the coordinator answers its next report with
// a beacon.
//
// Few active hosts know their targets' health and load well and keep few
// connections; they are as many as the measured load needs.
package roster
