// Package locality computes what it costs to send a request out of the availability
// zone of its host, and how much of the traffic of a service should leave the zone.
//
// Costs are expressed in lost requests, the unit of package schedule, and have three
// parts: the added delay, the time that the bytes of the request and of the response
// take on the link between regions, both relative to the latency objective, and a price
// of traffic. The price falls while the zone is short of capacity and less traffic
// leaves it than the shortage justifies, and rises while more does.
//
// The package is pure: every function takes the current time.
package locality
