package capacity

// Size describes the size and load of a fleet.
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

// CurrentSize returns the size of a current deployment. The design page gives no
// rates for it. The rate of requests is assumed to fill half of the slots at 50 ms per
// request, and the rate of restarts to be the same per host as at the target size.
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

// TargetSize returns the size in section 1.7 of the design page.
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
