package document

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Hash is a SHA-256 checksum.
type Hash [sha256.Size]byte

// String returns the checksum in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Section is a part of a document that can be changed independently. Data is the
// JSON encoding of the part's Go type.
type Section struct {
	Key  string
	Data []byte
}

// SectionSet is a document split into sections, sorted by key. It is immutable:
// copies share sections and are safe for concurrent use. The zero value has no
// sections and represents the state before the first document.
type SectionSet struct {
	entries []*entry
	hash    Hash
}

// entry caches the decoded value and the hash of a section, so that a change of
// one section does not decode or hash the others again.
type entry struct {
	Section
	hash  Hash
	value any
}

// Header is the section with the top-level fields of the document.
type Header struct {
	Format int    `yaml:"format"`
	Name   string `yaml:"name"`
}

// targetSection is the section with one target of a service.
type targetSection struct {
	Service ident.ServiceName `yaml:"service"`
	Target  Target            `yaml:"target"`
}

// HeaderKey is the key of the header section, which sorts before all other keys.
const HeaderKey = "header"

// Prefixes of section keys.
const (
	routePrefix  = "route/"
	targetPrefix = "target/"
)

// NewerFormatError reports a document format that this build does not support.
type NewerFormatError struct{ Format int }

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("format: %d is newer than %d", e.Format, FormatVersion)
}

// Sections splits a document into sections. Regions, services, targets and routes
// are ordered by name; lists inside a section keep their order.
func Sections(doc *Document) (SectionSet, error) {
	values := []any{Header{Format: doc.Format, Name: doc.Name}}
	for _, r := range doc.Regions {
		values = append(values, r)
	}
	for _, s := range doc.Services {
		for _, t := range s.Targets {
			values = append(values, targetSection{Service: s.Name, Target: t})
		}
		s.Targets = nil
		values = append(values, s)
	}
	for _, r := range doc.Routes {
		values = append(values, r)
	}
	entries := make([]*entry, 0, len(values))
	for _, v := range values {
		e, err := encodeEntry(v)
		if err != nil {
			return SectionSet{}, err
		}
		entries = append(entries, e)
	}
	return newSet(entries)
}

// FromSections assembles a document from its sections without validating it. The
// document shares memory with the set and must not be modified.
func FromSections(set SectionSet) (*Document, error) {
	if len(set.entries) == 0 || set.entries[0].Key != HeaderKey {
		return nil, errors.New("section header: missing")
	}
	doc := &Document{}
	doc.allocateRoutes(set)
	services := map[ident.ServiceName]int{}
	for _, e := range set.entries {
		switch v := e.value.(type) {
		case Header:
			doc.Format, doc.Name = v.Format, v.Name
		case Region:
			doc.Regions = append(doc.Regions, v)
		case Route:
			doc.Routes = append(doc.Routes, v)
		case Service:
			services[v.Name] = len(doc.Services)
			doc.Services = append(doc.Services, v)
		case targetSection:
			i, ok := services[v.Service]
			if !ok {
				return nil, errors.Errorf("section %s: service %q is missing", e.Key, v.Service)
			}
			doc.Services[i].Targets = append(doc.Services[i].Targets, v.Target)
		}
	}
	return doc, nil
}

// allocateRoutes allocates the route list, the longest list of a document, with
// its final capacity.
func (d *Document) allocateRoutes(set SectionSet) {
	routes := 0
	for _, e := range set.entries {
		if _, ok := e.value.(Route); ok {
			routes++
		}
	}
	if routes > 0 {
		d.Routes = make([]Route, 0, routes)
	}
}

// NewSectionSet builds a set from sections in any order. For a document with a
// newer format it returns a NewerFormatError rather than any other error.
func NewSectionSet(sections []Section) (SectionSet, error) {
	for _, s := range sections {
		if s.Key == HeaderKey {
			if _, err := decodeEntry(s); err != nil {
				return SectionSet{}, err
			}
		}
	}
	entries := make([]*entry, 0, len(sections))
	for _, s := range sections {
		e, err := decodeEntry(s)
		if err != nil {
			return SectionSet{}, err
		}
		entries = append(entries, e)
	}
	return newSet(entries)
}

// Len returns the number of sections.
func (s SectionSet) Len() int { return len(s.entries) }

// Hash returns the content hash, computed over the section hashes in key order.
func (s SectionSet) Hash() Hash { return s.hash }

// Sections returns the sections in key order. Their data must not be modified.
func (s SectionSet) Sections() []Section {
	list := make([]Section, len(s.entries))
	for i, e := range s.entries {
		list[i] = e.Section
	}
	return list
}

func newSet(entries []*entry) (SectionSet, error) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	for i := 1; i < len(entries); i++ {
		if entries[i].Key == entries[i-1].Key {
			return SectionSet{}, errors.Errorf("section %s: more than one with this name", entries[i].Key)
		}
	}
	return newHashedSet(entries), nil
}

func newHashedSet(entries []*entry) SectionSet {
	if len(entries) == 0 {
		return SectionSet{}
	}
	h := sha256.New()
	for _, e := range entries {
		h.Write(e.hash[:])
	}
	set := SectionSet{entries: entries}
	h.Sum(set.hash[:0])
	return set
}

func encodeEntry(value any) (*entry, error) {
	key, err := sectionKey(value)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "section %s", key)
	}
	return newEntry(Section{Key: key, Data: data}, value), nil
}

func newEntry(s Section, value any) *entry {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s.Key)))
	h.Write(length[:])
	h.Write([]byte(s.Key))
	h.Write(s.Data)
	e := &entry{Section: s, value: value}
	h.Sum(e.hash[:0])
	return e
}

// sectionKey returns the key of the section that holds value.
func sectionKey(value any) (string, error) {
	switch v := value.(type) {
	case Header:
		return HeaderKey, nil
	case Region:
		return joinKey("region", string(v.Name))
	case Service:
		if strings.Contains(string(v.Name), "/") {
			return "", errors.Errorf("service name %q contains a slash", v.Name)
		}
		return joinKey("service", string(v.Name))
	case targetSection:
		if v.Service == "" || strings.Contains(string(v.Service), "/") {
			return "", errors.Errorf("target %q: %q is not a service name", v.Target.Name, v.Service)
		}
		return joinKey(targetPrefix+string(v.Service), string(v.Target.Name))
	case Route:
		return joinKey("route", v.Name)
	}
	return "", errors.Errorf("%T is not a section", value)
}

func joinKey(kind, name string) (string, error) {
	if name == "" {
		return "", errors.Errorf("%s: the name is empty", kind)
	}
	return kind + "/" + name, nil
}

// decodeEntry decodes one section strictly: unknown fields, trailing data and a
// key that does not match the content are errors.
func decodeEntry(s Section) (*entry, error) {
	value, err := decodeValue(s)
	if err != nil {
		var newer *NewerFormatError
		if errors.As(err, &newer) {
			return nil, err
		}
		return nil, errors.Wrapf(err, "section %s", s.Key)
	}
	want, err := sectionKey(value)
	if err != nil {
		return nil, errors.Wrapf(err, "section %s", s.Key)
	}
	if want != s.Key {
		return nil, errors.Errorf("section %s: the content belongs to %s", s.Key, want)
	}
	return newEntry(s, value), nil
}

func decodeValue(s Section) (any, error) {
	kind, _, _ := strings.Cut(s.Key, "/")
	switch kind {
	case HeaderKey:
		return decodeHeader(s.Data)
	case "region":
		return decodeJSON[Region](s.Data)
	case "service":
		v, err := decodeJSON[Service](s.Data)
		if err == nil && v.Targets != nil {
			err = errors.New("targets must be sections of their own")
		}
		return v, err
	case "target":
		return decodeJSON[targetSection](s.Data)
	case "route":
		return decodeJSON[Route](s.Data)
	}
	return nil, errors.New("unknown kind of section")
}

// decodeHeader checks the format version first, because a newer format can have
// fields that the strict decoder would report as an invalid document.
func decodeHeader(data []byte) (any, error) {
	var header struct{ Format int }
	if err := json.Unmarshal(data, &header); err != nil {
		return nil, err
	}
	if header.Format > FormatVersion {
		return nil, &NewerFormatError{Format: header.Format}
	}
	return decodeJSON[Header](data)
}

func decodeJSON[T any](data []byte) (T, error) {
	var v T
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, err
	}
	if dec.More() || dec.InputOffset() != int64(len(data)) {
		return v, errors.New("trailing data")
	}
	return v, nil
}
