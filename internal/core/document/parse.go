package document

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Parse reads a document in its YAML form, refuses unknown fields and fills in
// defaults.
func Parse(data []byte) (*Document, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	doc := &Document{}
	if err := dec.Decode(doc); err != nil {
		return nil, errors.Wrap(err, "document")
	}
	doc.setDefaults()
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Validate checks the references and ranges of a document.
func (d *Document) Validate() error {
	if d.Format != FormatVersion {
		return errors.Errorf("format: %d is not supported, want %d", d.Format, FormatVersion)
	}
	classes := map[string]bool{}
	for _, s := range d.Services {
		for _, c := range s.Classes {
			classes[string(s.Name)+"/"+string(c.Name)] = true
		}
	}
	for i, r := range d.Routes {
		if !classes[string(r.Service)+"/"+string(r.Class)] {
			return errors.Errorf("routes[%d]: service %q has no class %q", i, r.Service, r.Class)
		}
	}
	return nil
}

func (d *Document) setDefaults() {
	for i := range d.Services {
		d.Services[i].setDefaults()
	}
}

func (s *Service) setDefaults() {
	setDefault(&s.ServingHosts, 4)
	setDefault(&s.Limits.QueueLength, 64)
	setDefault(&s.Retry.Budget, 0.1)
	setDefault(&s.Retry.MaxAttempts, 3)
	setDefault(&s.Health.ProbeInterval, Duration(2*time.Second))
	if s.Health.FailureStatuses == nil {
		s.Health.FailureStatuses = []int{500, 502, 504}
	}
	if s.Health.ShedStatuses == nil {
		s.Health.ShedStatuses = []int{429, 503}
	}
	for i := range s.Targets {
		setDefault(&s.Targets[i].Connections, 330)
		setDefault(&s.Targets[i].Slots, 1)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.Deadline, Duration(5*time.Second))
		setDefault(&c.AttemptTimeout, c.Deadline)
		setDefault(&c.MaxRequestBytes, 1<<20)
		setDefault(&c.MaxBufferedAnswerBytes, 1<<20)
		if c.Upload != nil {
			setDefault(&c.Upload.MinBytesPerSecond, 16<<10)
			setDefault(&c.Upload.MaxBytesPerSecondAcrossRegions, 1<<20)
		}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// UnmarshalYAML reads a duration in Go's notation.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	v, err := time.ParseDuration(node.Value)
	if err != nil {
		return errors.Errorf("line %d: %q is not a duration such as 1.5s", node.Line, node.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes a duration in Go's notation.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// sizeUnits maps the accepted suffixes to bytes, longest suffix first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}, {"", 1}}

// UnmarshalYAML reads a size such as 64KiB.
func (s *Size) UnmarshalYAML(node *yaml.Node) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(node.Value, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return errors.Errorf("line %d: %q is not a size such as 64KiB", node.Line, node.Value)
}

// MarshalYAML writes a size with the largest unit that divides it.
func (s Size) MarshalYAML() (any, error) {
	for _, u := range sizeUnits {
		if int64(s) >= u.bytes && int64(s)%u.bytes == 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.suffix, nil
		}
	}
	return "0B", nil
}
