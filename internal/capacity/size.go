package capacity

// Size is the size of a fleet.
type Size struct {
	Name              string
	Hosts             int
	Zones             int
	Regions           int
	Targets           int
	Services          int
	Routes            int
	Teams             int
	SlotsPerTarget    int
	RequestsPerSecond float64
	ChangesPerDay     float64
	RestartsPerDay    float64
}

// Today is the size of a deployment today. The design page gives no rates for
// it: requests fill half of the slots at 50 ms each, restarts have the share of
// the target size.
func CurrentSize() Size {
	return Size{
		Name:              "today",
		Hosts:             36,
		Zones:             4,
		Regions:           2,
		Targets:           33,
		Services:          3,
		Routes:            6,
		SlotsPerTarget:    6,
		RequestsPerSecond: 2000,
		ChangesPerDay:     50,
		RestartsPerDay:    225,
	}
}

// Target is the size in section 1.7 of the design page.
func TargetSize() Size {
	return Size{
		Name:              "target size",
		Hosts:             3200,
		Zones:             5,
		Regions:           2,
		Targets:           51_000,
		Services:          1300,
		Routes:            70_000,
		Teams:             190_000,
		SlotsPerTarget:    6,
		RequestsPerSecond: 300_000,
		ChangesPerDay:     5300,
		RestartsPerDay:    20_000,
	}
}
