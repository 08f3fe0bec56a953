// Package peer implements the communication between hosts: drpc calls over TCP, and
// datagrams of the membership or the fleet protocol over UDP, both on the peer port.
//
// Every message identifies the sending process by host and incarnation, and carries a
// timestamp of its hybrid logical clock. A reply from an incarnation other than the
// called one is rejected.
package peer
