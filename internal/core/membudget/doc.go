// Package membudget accounts for the bytes that a host holds for others: connections with their request
// heads, buffered request bodies, and responses that callers have not read yet.
//
// Each kind of use is a class with a reserved part that no other class can take, so that much
// use of one kind leaves room for the others. Bytes are reserved before they are read. A request body is a Body,
// which grows while it arrives. If there is no room, bodies that make no progress are evicted first, then
// those of a client that holds more than the one that asks; otherwise the request is refused.
package membudget
