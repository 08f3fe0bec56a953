// Package peer connects hosts: calls over drpc on TCP, and the datagrams of the
// membership protocol on UDP, both on the peer port.
//
// Every message names the sending process by host and incarnation. A reply from
// another incarnation than the one that was called is dropped. Stamps of the
// hybrid logical clock travel on every message.
package peer
