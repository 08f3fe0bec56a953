// Package capacity measures what one more target, route, host or message costs
// in the packages of a host, and works out from these slopes what a host, the
// log service and the link between regions need at a given size of the fleet.
// docs/CAPACITY.md is made from its tables.
package capacity
