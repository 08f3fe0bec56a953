// Package capacity estimates resource requirements. It measures the marginal cost
// of a target, route, host or message in the packages of a host. From these slopes,
// it computes the requirements of a host, the log service and the link between
// regions for a given fleet size. The tables in docs/CAPACITY.md are its output.
package capacity
