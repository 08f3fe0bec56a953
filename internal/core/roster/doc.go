// Package roster maintains the membership view of one region: it elects the host that
// coordinates the region and selects the active hosts, which are the hosts that callers
// are sent to. It performs no I/O: reports, beacons and ticks are inputs, and the
// messages to send are outputs.
//
// Every host sends reports to its coordinator and to the first hosts of its region in
// an order that all hosts share, in which hosts with the most CPU come first. From the
// reports the coordinator determines which hosts are alive. It selects the active hosts
// and announces them in its beacons, which relays forward in a large region. It also
// reads the store on behalf of the region. A coordinator keeps its role until it leaves
// or fails; then the first remaining host in the order takes over. Two coordinators at
// a time are harmless: only the selection of active hosts depends on the role, and
// where both are heard the first in the order wins.
//
// A starting host knows only the addresses of seeds. It sends reports to them, they
// answer with the hosts that it can follow, and the coordinator answers its next report
// with a beacon.
//
// The number of active hosts follows the measured load. Keeping it small means that
// each of them has recent data on the health and load of its targets and that few
// connections to targets are open.
package roster
