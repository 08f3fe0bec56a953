package locality

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
)

// Config holds the settings of the costs.
type Config struct {
	// ZonePrice and RegionPrice are the prices of traffic between zones of a region and
	// between regions, in lost requests per million bytes beyond freeBytes of a request.
	ZonePrice, RegionPrice float64
	// MaxZonePrice and MaxRegionPrice bound the price of one request, so that a target
	// that certainly fails is never preferred because of the size of a request.
	MaxZonePrice, MaxRegionPrice float64
	// LeaveCost is the cost of each request that leaves the zone. It keeps requests in a
	// zone whose targets are as good as others.
	LeaveCost float64
	// ZoneDelay and RegionDelay are the assumed round-trip times, used until longer ones
	// are observed.
	ZoneDelay, RegionDelay time.Duration
	// MaxObjective bounds the objective to which delays are compared: a longer one does
	// not make distance cheaper. It also applies to classes without an objective.
	MaxObjective time.Duration
	// LinkBytesPerSecond is the bandwidth of the link between regions in each direction.
	LinkBytesPerSecond float64
}

// DefaultConfig returns the default settings. Before anything is measured, at an objective
// of 1 s, a small request costs 0.010 in another zone and 0.069 in another region, and one
// with a body of 100 KB 0.079 and 0.47. Deployments whose settings state no prices depend on
// costs of about this size.
func DefaultConfig() Config {
	return Config{
		ZonePrice: 0.7, RegionPrice: 4,
		MaxZonePrice: 0.25, MaxRegionPrice: 0.6,
		LeaveCost: 0.009,
		ZoneDelay: time.Millisecond, RegionDelay: 60 * time.Millisecond,
		MaxObjective:       time.Second,
		LinkBytesPerSecond: 60e6 / 8,
	}
}

// Cost is the cost of sending a request to a distance, by its parts. Leave is
// Config.LeaveCost, Price the price of the bytes.
type Cost struct{ Leave, Delay, Transfer, Price float64 }

// Total returns the sum of the parts, with a factor of the price.
func (c Cost) Total(priceFactor float64) float64 {
	return c.Leave + c.Delay + c.Transfer + c.Price*priceFactor
}

// freeBytes is the size of a request and its response up to which its bytes have no price.
// What is saved by keeping small requests in their zone is less than what a worse target costs.
const freeBytes = 2000

// maxUtilization bounds the assumed utilization of the link between regions. Transfer times grow
// without bound as it approaches 1.
const maxUtilization = 0.95

// Cost returns the cost of sending a request of a class to a distance, without the factor
// of Shares. linkUtilization is the utilization of the link between regions, 0 to 1.
func (c Config) Cost(now time.Time, t *Traffic, d balance.Distance, objective time.Duration, linkUtilization float64) Cost {
	if d == balance.SameZone {
		return Cost{}
	}
	if objective <= 0 || objective > c.MaxObjective {
		objective = c.MaxObjective
	}
	bytes := t.Bytes()
	priced := max(0, bytes-freeBytes) / 1e6
	cost := Cost{Leave: c.LeaveCost, Delay: t.Delay(now, d, c.defaultDelay(d)).Seconds() / objective.Seconds()}
	if d == balance.SameRegion {
		cost.Price = min(c.MaxZonePrice, c.ZonePrice*priced)
		return cost
	}
	free := c.LinkBytesPerSecond * (1 - min(maxUtilization, max(0, linkUtilization)))
	cost.Transfer = bytes / free / objective.Seconds()
	cost.Price = min(c.MaxRegionPrice, c.RegionPrice*priced)
	return cost
}

func (c Config) defaultDelay(d balance.Distance) time.Duration {
	if d == balance.SameRegion {
		return c.ZoneDelay
	}
	return c.RegionDelay
}
