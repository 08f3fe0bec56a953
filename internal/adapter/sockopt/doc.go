// Package sockopt reads and sets what the standard library does not offer of TCP sockets. On systems other than
// Linux its functions have no effect.
package sockopt
