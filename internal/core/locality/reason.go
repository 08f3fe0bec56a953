package locality

// Reason says why a request left the zone of its host.
type Reason int

// Reasons.
const (
	// Stayed: the request did not leave the zone.
	Stayed Reason = iota
	// NoTarget: the zone has no usable target.
	NoTarget
	// NoRoom: all usable targets of the zone are busy.
	NoRoom
	// Tried: the request has already been at the targets of the zone that have room.
	Tried
	// Failing: the targets of the zone with room are likelier to fail.
	Failing
	// Cheaper: a target outside has a lower cost for another reason, such as its load.
	Cheaper
	// Floor: the target is used to maintain the floor.
	Floor
)

// NumReasons is the number of reasons.
const NumReasons = int(Floor) + 1

var reasonNames = [...]string{"stayed", "no_target", "no_room", "tried", "failing", "cheaper", "floor"}

// String returns the name of the reason.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "invalid"
	}
	return reasonNames[r]
}
