package document

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestFieldsAreDescribed guards against a field that forms show without a label.
func TestFieldsAreDescribed(t *testing.T) {
	var visit func(reflect.Type)
	visit = func(typ reflect.Type) {
		if typ.Kind() == reflect.Slice || typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		if typ.Kind() != reflect.Struct {
			return
		}
		for i := range typ.NumField() {
			f := typ.Field(i)
			info := Fields(typ)[YAMLName(f)]
			list := f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct
			if info.Label == "" || list && info.ItemLabel == "" {
				t.Errorf("%s.%s: description %+v", typ, f.Name, info)
			}
			visit(f.Type)
		}
		if len(Fields(typ)) != typ.NumField() {
			t.Errorf("%s: %d descriptions for %d fields", typ, len(Fields(typ)), typ.NumField())
		}
	}
	visit(reflect.TypeFor[Document]())
}

// TestRangesMatchValidation guards against a stated range that the validation
// does not apply.
func TestRangesMatchValidation(t *testing.T) {
	d := &Document{Name: "?", Regions: []Region{{Name: "?", Zones: []ident.Zone{"?"}}}, Routes: []Route{{Name: "?", PathPrefix: "?", Methods: []string{"?get"}}}}
	class := Class{Name: "?", Floor: 2, Deadline: 1, AttemptTimeout: 1, NotRunStatuses: []int{1}, MaxRequestBytes: 1 << 50, MaxBufferedAnswerBytes: 1 << 50}
	upload := class
	upload.Upload = &Upload{MinBytesPerSecond: 1 << 50}
	d.Services = []Service{{
		Name:    "?",
		Targets: []Target{{Name: "?"}},
		Classes: []Class{class, upload},
		Health:  Health{Balance: 2, FailureStatuses: []int{1}, ShedStatuses: []int{2}, ProbePath: "?", ProbeInterval: Duration(time.Microsecond), LoadPath: "?"},
		Limits:  Limits{QueueLength: -1},
		Retry:   Retry{Budget: 2},
	}}
	text := d.Validate().Error()
	for _, c := range []struct {
		path  string
		typ   reflect.Type
		field string
	}{
		{"name", reflect.TypeFor[Document](), "name"},
		{"format", reflect.TypeFor[Document](), "format"},
		{"regions[0].zones[0]", reflect.TypeFor[Region](), "zones"},
		{"services[0].serving_hosts", reflect.TypeFor[Service](), "serving_hosts"},
		{"services[0].targets[0].address", reflect.TypeFor[Target](), "address"},
		{"services[0].targets[0].slots", reflect.TypeFor[Target](), "slots"},
		{"services[0].targets[0].connections", reflect.TypeFor[Target](), "connections"},
		{"services[0].classes[0].floor", reflect.TypeFor[Class](), "floor"},
		{"services[0].classes[0].deadline", reflect.TypeFor[Class](), "deadline"},
		{"services[0].classes[0].not_run_statuses[0]", reflect.TypeFor[Class](), "not_run_statuses"},
		{"services[0].classes[0].max_request_bytes", reflect.TypeFor[Class](), "max_request_bytes"},
		{"services[0].classes[0].max_buffered_answer_bytes", reflect.TypeFor[Class](), "max_buffered_answer_bytes"},
		{"services[0].classes[1].upload.min_bytes_per_second", reflect.TypeFor[Upload](), "min_bytes_per_second"},
		{"services[0].classes[1].upload.max_bytes_per_second_across_regions", reflect.TypeFor[Upload](), "max_bytes_per_second_across_regions"},
		{"services[0].health.balance", reflect.TypeFor[Health](), "balance"},
		{"services[0].health.failure_statuses[0]", reflect.TypeFor[Health](), "failure_statuses"},
		{"services[0].health.probe_path", reflect.TypeFor[Health](), "probe_path"},
		{"services[0].health.probe_interval", reflect.TypeFor[Health](), "probe_interval"},
		{"services[0].limits.queue_length", reflect.TypeFor[Limits](), "queue_length"},
		{"services[0].retry.budget", reflect.TypeFor[Retry](), "budget"},
		{"services[0].retry.max_attempts", reflect.TypeFor[Retry](), "max_attempts"},
		{"routes[0].path_prefix", reflect.TypeFor[Route](), "path_prefix"},
		{"routes[0].methods[0]", reflect.TypeFor[Route](), "methods"},
	} {
		if want := Fields(c.typ)[c.field].Range; !hasError(text, c.path, "want "+want) {
			t.Errorf("%s: the validation does not want %s", c.path, want)
		}
	}
}

func hasError(text, path, message string) bool {
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, path+": ") && strings.HasSuffix(line, message) {
			return true
		}
	}
	return false
}
