package document

import "time"

func (s *Service) setDefaults() {
	s.ServingHosts = 4
	s.Limits.QueueLength = 64
	s.Retry = Retry{Budget: 0.1, MaxAttempts: 3}
	s.Health = Health{
		Balance:         0.5,
		FailureStatuses: []int{500, 502, 504},
		ShedStatuses:    []int{429, 503},
		ProbeInterval:   Duration(2 * time.Second),
	}
}

func (t *Target) setDefaults() {
	t.Slots = 1
	t.Connections = 330 // the number of connections that a target accepts
}

func (c *Class) setDefaults() {
	c.Floor = 0.5
	c.Deadline = Duration(5 * time.Second)
	c.MaxRequestBytes = 1 << 20
	c.MaxBufferedAnswerBytes = 1 << 20
}

func (u *Upload) setDefaults() {
	u.MinBytesPerSecond = 16 << 10
	u.MaxBytesPerSecondAcrossRegions = 1 << 20
}

// setDerivedDefaults sets the defaults that depend on other fields.
func (d *Document) setDerivedDefaults() {
	for i := range d.Services {
		for j := range d.Services[i].Classes {
			c := &d.Services[i].Classes[j]
			if c.AttemptTimeout == 0 {
				c.AttemptTimeout = c.Deadline
			}
		}
	}
}
