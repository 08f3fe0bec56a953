package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

func toState(s roster.State) *peerpb.RegistryState {
	return &peerpb.RegistryState{
		ConfigVersion:  s.ConfigVersion,
		TargetsChanged: s.TargetsChanged.Offset,
		TargetsEra:     s.TargetsChanged.Era,
		HostsHash:      s.HostsHash,
		AgeMs:          s.Age.Milliseconds(),
	}
}

func fromState(pb *peerpb.RegistryState) roster.State {
	return roster.State{
		ConfigVersion:  pb.GetConfigVersion(),
		TargetsChanged: registry.Position{Era: pb.GetTargetsEra(), Offset: pb.GetTargetsChanged()},
		HostsHash:      pb.GetHostsHash(),
		Age:            age(pb.GetAgeMs()),
	}
}

func toRegisteredHost(h registry.Host) *peerpb.RegisteredHost {
	return &peerpb.RegisteredHost{
		Id:            string(h.ID),
		Incarnation:   uint64(h.Incarnation),
		Region:        string(h.Location.Region),
		Zone:          string(h.Location.Zone),
		CallerAddress: h.CallerAddress,
		PeerAddress:   h.PeerAddress,
		Millicores:    int32(h.Millicores),
		LinkMbps:      int32(h.LinkMbps),
	}
}

func fromRegisteredHost(pb *peerpb.RegisteredHost) registry.Host {
	return registry.Host{
		ID:            ident.HostID(pb.GetId()),
		Incarnation:   ident.Incarnation(pb.GetIncarnation()),
		Location:      ident.Location{Region: ident.Region(pb.GetRegion()), Zone: ident.Zone(pb.GetZone())},
		CallerAddress: pb.GetCallerAddress(),
		PeerAddress:   pb.GetPeerAddress(),
		Millicores:    int(pb.GetMillicores()),
		LinkMbps:      int(max(0, pb.GetLinkMbps())),
	}
}

func fromReport(pb *peerpb.HostReport) roster.Report {
	return roster.Report{
		Host:        fromRegisteredHost(pb.GetHost()),
		Leaving:     pb.GetLeaving(),
		Ready:       pb.GetReady(),
		Rate:        reportedRate(pb.GetRate()),
		ByteRate:    reportedRate(pb.GetByteRate()),
		Coordinator: ident.HostID(pb.GetCoordinator()),
	}
}

// maxReportedRate bounds the request rate that a host reports, in requests per second.
const maxReportedRate = 1e9

// reportedRate returns a rate that can be summed and compared: 0 for one that is no number.
func reportedRate(rate float64) float64 {
	if math.IsNaN(rate) {
		return 0
	}
	return min(max(rate, 0), maxReportedRate)
}

// reportedBytes returns a number of bytes that can be summed.
func reportedBytes(n uint64) int64 { return int64(min(n, math.MaxInt32)) }

func fromWelcome(pb *peerpb.Welcome) roster.Welcome {
	w := roster.Welcome{Coordinator: ident.HostID(pb.GetCoordinator())}
	for _, h := range pb.GetHosts() {
		w.Hosts = append(w.Hosts, fromRegisteredHost(h))
	}
	return w
}

func toObservations(in port.Observations) *peerpb.Observations {
	pb := &peerpb.Observations{CrossRegionSent: uint64(max(0, in.CrossRegion.Sent)), CrossRegionReceived: uint64(max(0, in.CrossRegion.Received))}
	for _, o := range in.Services {
		outcomes := &peerpb.ServiceOutcomes{
			Service:       string(o.Service),
			Ended:         uint32(o.Ended),
			Unserved:      uint32(o.Unserved),
			FloorUnserved: uint32(o.FloorUnserved),
		}
		setRetries(outcomes, o.Retries)
		setDemand(outcomes, o.Demand)
		pb.Services = append(pb.Services, outcomes)
	}
	pb.Leaving = toLeaving(in.Leaving)
	for _, o := range in.Targets {
		pb.Targets = append(pb.Targets, &peerpb.TargetObservation{
			Service:   string(o.Service),
			Target:    string(o.Target),
			Started:   uint32(o.Started),
			Successes: uint32(o.Successes),
			Failures:  uint32(o.Failures),
			InFlight:  uint32(o.InFlight),
		})
	}
	return pb
}

func fromObservations(pb *peerpb.Observations) port.Observations {
	out := port.Observations{
		Leaving:     fromLeaving(pb.GetLeaving()),
		CrossRegion: locality.Bytes{Sent: reportedBytes(pb.GetCrossRegionSent()), Received: reportedBytes(pb.GetCrossRegionReceived())},
	}
	for _, o := range pb.GetServices() {
		out.Services = append(out.Services, port.ServiceOutcomes{
			Service:       ident.ServiceName(o.GetService()),
			Ended:         int(o.GetEnded()),
			Unserved:      int(o.GetUnserved()),
			FloorUnserved: int(o.GetFloorUnserved()),
			Retries:       fromRetries(o),
			Demand:        fromDemand(o),
		})
	}
	for _, o := range pb.GetTargets() {
		out.Targets = append(out.Targets, port.TargetObservation{
			Service:   ident.ServiceName(o.GetService()),
			Target:    ident.TargetID(o.GetTarget()),
			Started:   int(o.GetStarted()),
			Successes: int(o.GetSuccesses()),
			Failures:  int(o.GetFailures()),
			InFlight:  int(o.GetInFlight()),
		})
	}
	return out
}

func toRegistry(c port.RegistryDelta, cache *configurationCache) (*peerpb.Registry, error) {
	pb := &peerpb.Registry{
		State:                 toState(c.State),
		TargetsPosition:       c.Targets.Position.Offset,
		TargetsPositionEra:    c.Targets.Position.Era,
		TargetsFull:           c.Targets.Full,
		ConfigurationPosition: c.ConfigurationPosition.Offset,
		ConfigurationEra:      c.ConfigurationPosition.Era,
	}
	if c.Configuration != nil {
		data, err := cache.encode(c.Configuration)
		if err != nil {
			return nil, err
		}
		pb.Configuration = data
	}
	for _, r := range c.Targets.Records {
		pb.Targets = append(pb.Targets, toRegisteredTarget(r))
	}
	for _, h := range c.Hosts {
		pb.Hosts = append(pb.Hosts, toRegisteredHost(h))
	}
	for _, h := range c.RemovedHosts {
		pb.RemovedHosts = append(pb.RemovedHosts, &peerpb.RemovedHost{Id: string(h.ID), Incarnation: uint64(h.Incarnation)})
	}
	return pb, nil
}

// fromRegistry decodes a configuration of up to limit bytes.
func fromRegistry(pb *peerpb.Registry, limit int64) (port.RegistryDelta, error) {
	state := fromState(pb.GetState())
	c := port.RegistryDelta{
		State:                 state,
		ConfigurationPosition: registry.Position{Era: pb.GetConfigurationEra(), Offset: pb.GetConfigurationPosition()},
		Targets: registry.Changes{
			Full:       pb.GetTargetsFull(),
			Position:   registry.Position{Era: pb.GetTargetsPositionEra(), Offset: pb.GetTargetsPosition()},
			LastChange: state.TargetsChanged,
		},
	}
	if len(pb.GetConfiguration()) > 0 {
		configuration, err := decodeConfiguration(pb.GetConfiguration(), limit)
		if err != nil {
			return c, err
		}
		c.Configuration = configuration
	}
	for _, t := range pb.GetTargets() {
		c.Targets.Records = append(c.Targets.Records, fromRegisteredTarget(t))
	}
	for _, h := range pb.GetHosts() {
		c.Hosts = append(c.Hosts, fromRegisteredHost(h))
	}
	for _, h := range pb.GetRemovedHosts() {
		c.RemovedHosts = append(c.RemovedHosts, registry.RemovedHost{ID: ident.HostID(h.GetId()), Incarnation: ident.Incarnation(h.GetIncarnation())})
	}
	return c, nil
}

func toRegisteredTarget(r registry.TargetRecord) *peerpb.RegisteredTarget {
	pb := &peerpb.RegisteredTarget{Id: string(r.ID), Offset: r.Position.Offset, Era: r.Position.Era, Gone: r.Target == nil, Draining: r.Drained, Overwritten: r.Overwritten}
	if f := r.Former; f != nil {
		pb.Service, pb.BornMs, pb.Sequence, pb.RemovedEra = string(f.Service), f.StartUnixMilli, f.Sequence, r.RemovedEra
	}
	if t := r.Target; t != nil {
		pb.Service, pb.Address, pb.Zone, pb.Version = string(t.Service), t.Address, string(t.Zone), t.Version
		pb.Slots, pb.Draining = int32(t.Slots), t.Draining
		pb.WarmUpLeftMs, pb.BornMs, pb.Sequence = t.WarmUpLeft.Milliseconds(), t.StartUnixMilli, t.Sequence
	}
	return pb
}

func fromRegisteredTarget(pb *peerpb.RegisteredTarget) registry.TargetRecord {
	r := registry.TargetRecord{ID: ident.TargetID(pb.GetId()), Position: registry.Position{Era: pb.GetEra(), Offset: pb.GetOffset()}, Overwritten: pb.GetOverwritten()}
	if pb.GetGone() {
		r.Drained = pb.GetDraining()
		if pb.GetBornMs() != 0 {
			r.Former = &registry.Target{ID: r.ID, Service: ident.ServiceName(pb.GetService()), StartUnixMilli: pb.GetBornMs(), Sequence: pb.GetSequence()}
			r.RemovedEra = pb.GetRemovedEra()
		}
		return r
	}
	r.Target = &registry.Target{
		ID:             r.ID,
		Service:        ident.ServiceName(pb.GetService()),
		Address:        pb.GetAddress(),
		Zone:           ident.Zone(pb.GetZone()),
		Version:        pb.GetVersion(),
		Slots:          int(pb.GetSlots()),
		Draining:       pb.GetDraining(),
		WarmUpLeft:     time.Duration(pb.GetWarmUpLeftMs()) * time.Millisecond,
		StartUnixMilli: pb.GetBornMs(),
		Sequence:       pb.GetSequence(),
	}
	return r
}

// configurationCache caches the encoding of the configuration that was requested last,
// because many hosts pull a change at the same time. It is safe for concurrent use.
type configurationCache struct {
	mu sync.Mutex
	// source is the configuration that data encodes.
	source *registry.Configuration
	data   []byte
}

func (c *configurationCache) encode(configuration *registry.Configuration) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.source == configuration {
		return c.data, nil
	}
	var data bytes.Buffer
	compressed, err := flate.NewWriter(&data, flate.BestSpeed)
	if err == nil {
		err = json.NewEncoder(compressed).Encode(configuration)
	}
	if err == nil {
		err = compressed.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "peer: configuration")
	}
	c.source, c.data = configuration, data.Bytes()
	return c.data, nil
}

const (
	// minConfigurationLimit is the least bound of a decompressed configuration; one with 70,000 routes has
	// about 18 MB.
	minConfigurationLimit = 24 << 20
	// defaultConfigurationLimit applies to a host that does not know its memory. 190,000 teams have about
	// 28 MB.
	defaultConfigurationLimit = 64 << 20
	// configurationFraction is the part of the memory, as a divisor, that a decompressed configuration may
	// have. Decoding one of 190,000 teams takes less than twice its size.
	configurationFraction = 8
)

// maxConfigurationBytes returns the largest size of a decompressed configuration for a host with the given
// memory, or 0 if it is unknown.
func maxConfigurationBytes(memoryBytes int64) int64 {
	return membudget.PartOfMemory(memoryBytes, configurationFraction, minConfigurationLimit, defaultConfigurationLimit)
}

// tooLargeError is the error of a configuration beyond the bound.
type tooLargeError struct{ limit int64 }

// Error implements error.
func (e *tooLargeError) Error() string {
	return fmt.Sprintf("peer: the configuration is too large, at most %d bytes are decoded with the memory of this host", e.limit)
}

// boundedReader fails beyond a limit, where io.LimitReader reports the end.
type boundedReader struct {
	r           io.Reader
	left, limit int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &tooLargeError{b.limit}
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// decodeConfiguration decodes the output of configurationCache.encode, which may have up to limit bytes when
// it is decompressed.
func decodeConfiguration(data []byte, limit int64) (*registry.Configuration, error) {
	c := &registry.Configuration{}
	decompressed := &boundedReader{r: flate.NewReader(bytes.NewReader(data)), left: limit, limit: limit}
	if err := json.NewDecoder(decompressed).Decode(c); err != nil {
		return nil, errors.Wrap(err, "peer: configuration")
	}
	if c.Document == nil {
		return nil, errors.New("peer: configuration: the document is missing")
	}
	return c, nil
}
