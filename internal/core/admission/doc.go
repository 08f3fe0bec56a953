// Package admission decides, while the capacity of a service is short, which of its requests
// the fleet admits. Every host sums the demand that the hosts report to each other, and
// computes from it, without further messages, up to which level requests are admitted: levels
// are admitted in the order of (team priority, class priority), the last of them in part, with
// a max-min fair share for each team.
//
// A refused request gets the time at which it should return. Its ID has a position on a
// circle, and requests with a position in a window that moves around the circle are admitted
// before others, unless the overload is heavy.
//
// Nothing is refused unless the demand for the service as a whole exceeds its capacity and
// requests suffer from it. Demand that is no longer reported is dropped from the sum. A host
// that receives no reports compares its own demand alone with the capacity, and so admits
// everything as long as that is the smaller one.
//
// The package is pure: every function takes the current time.
package admission
