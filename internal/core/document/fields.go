package document

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// FieldInfo describes a document field in user interfaces.
type FieldInfo struct {
	Label string
	Unit  string
	// Range describes the accepted values with the wording of the validation errors.
	Range string
	Help  string
	// ItemLabel names one element of a list field.
	ItemLabel string
}

// Fields returns the field descriptions of a document type, keyed by YAML name.
// It returns nil if t is not a document type.
func Fields(t reflect.Type) map[string]FieldInfo { return fieldInfos[t] }

// NewDefault returns a pointer to a new value of type t, with the defaults that
// Parse sets for absent fields.
func NewDefault(t reflect.Type) reflect.Value { return newWithDefaults(t) }

// YAMLName returns the YAML name of a struct field.
func YAMLName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

var (
	rangeName     = fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxNameLength)
	rangePath     = "a path that starts with '/', without space, '?' or '#'"
	rangeFraction = "0 to 1"
	rangeStatus   = "400 to 599"
	rangeBuffered = fmt.Sprintf("%s to %s", Size(0), Size(maxBufferedBytes))
	rangeBody     = fmt.Sprintf("%s to %s", Size(0), Size(maxBodyBytes))
)

func intRange(low, high int) string { return fmt.Sprintf("%d to %d", low, high) }

func timeRange(low, high time.Duration) string { return fmt.Sprintf("%s to %s", low, high) }

var fieldInfos = map[reflect.Type]map[string]FieldInfo{
	reflect.TypeFor[Document](): {
		"format":   {Label: "Format", Range: fmt.Sprint(FormatVersion), Help: "version of the document format"},
		"name":     {Label: "Name", Range: rangeName},
		"regions":  {Label: "Regions", ItemLabel: "region"},
		"services": {Label: "Services", ItemLabel: "service"},
		"routes":   {Label: "Routes", ItemLabel: "route"},
	},
	reflect.TypeFor[Region](): {
		"name":  {Label: "Region", Range: rangeName},
		"zones": {Label: "Availability zones", Range: rangeName, Help: "each zone belongs to one region"},
	},
	reflect.TypeFor[Service](): {
		"name":          {Label: "Name", Range: rangeName},
		"targets":       {Label: "Targets", ItemLabel: "target"},
		"classes":       {Label: "Request classes", ItemLabel: "request class"},
		"health":        {Label: "Health"},
		"limits":        {Label: "Limits"},
		"retry":         {Label: "Retries"},
		"serving_hosts": {Label: "Serving hosts", Unit: "hosts in each region", Range: intRange(1, maxServingHosts)},
		"selection":     {Label: "Selection", Range: "empty or " + string(ExpectedCost), Help: "empty selects the least loaded target"},
		"connections":   {Label: "Connections", Unit: "connections from all hosts to a target that registers itself", Range: intRange(0, maxConnections)},
	},
	reflect.TypeFor[Target](): {
		"name":        {Label: "Name", Range: rangeName},
		"address":     {Label: "Address", Range: "IP:port"},
		"zone":        {Label: "Zone", Help: "one of the regions' zones"},
		"slots":       {Label: "Slots", Unit: "concurrent requests", Range: intRange(1, maxSlots)},
		"connections": {Label: "Connections", Unit: "connections from all hosts", Range: intRange(1, maxConnections)},
	},
	reflect.TypeFor[Class]():  classInfos,
	reflect.TypeFor[Health](): healthInfos,
	reflect.TypeFor[Upload](): {
		"min_bytes_per_second":                {Label: "Minimum rate", Unit: "bytes per second", Range: rangeBody, Help: "a request whose body arrives more slowly is aborted"},
		"max_bytes_per_second_across_regions": {Label: "Maximum rate between regions", Unit: "bytes per second", Range: fmt.Sprintf("%s to %s", Size(1), Size(maxBodyBytes))},
	},
	reflect.TypeFor[Limits](): {
		"queue_length": {Label: "Queue length", Unit: "waiting requests on one host", Range: intRange(0, maxQueueLength)},
	},
	reflect.TypeFor[Retry](): {
		"budget":       {Label: "Budget", Unit: "fraction of recent requests", Range: rangeFraction},
		"max_attempts": {Label: "Maximum attempts", Unit: "attempts of an idempotent request", Range: intRange(1, maxAttempts)},
	},
	reflect.TypeFor[Route](): {
		"name":        {Label: "Name", Range: rangeName},
		"path_prefix": {Label: "Path prefix", Range: rangePath, Help: "matches whole path segments"},
		"methods":     {Label: "Methods", Range: "a method in capitals such as GET", Help: "empty matches all"},
		"service":     {Label: "Service", Help: "one of the services"},
		"class":       {Label: "Class", Help: "a class of the service, or of each service of the split"},
		"host":        {Label: "Host name", Help: "empty matches all"},
		"split":       {Label: "Split", ItemLabel: "share"},
		"anonymous":   {Label: "Anonymous", Range: "true or false", Help: "needs no key where the deployment has teams"},
	},
	reflect.TypeFor[Share](): {
		"service": {Label: "Service", Help: "one of the services"},
		"weight":  {Label: "Weight", Unit: "relative to the other shares", Range: intRange(1, maxWeight)},
	},
}

var classInfos = map[string]FieldInfo{
	"name":                      {Label: "Name", Range: rangeName},
	"idempotent":                {Label: "Idempotent", Range: "true or false", Help: "only idempotent requests are retried after a target may have run them"},
	"floor":                     {Label: "Floor", Unit: "fraction of slots", Range: rangeFraction, Help: "ejection keeps at least this fraction in service"},
	"deadline":                  {Label: "Deadline", Unit: "time such as 1.5s", Range: timeRange(time.Millisecond, maxDeadline), Help: "applies if the caller sends none"},
	"attempt_timeout":           {Label: "Attempt timeout", Unit: "time such as 1.5s", Range: "1ms to the deadline", Help: "default: the deadline"},
	"not_run_statuses":          {Label: "\"Not run\" statuses", Unit: "HTTP statuses", Range: rangeStatus, Help: "mean that the target did not run the request"},
	"max_request_bytes":         {Label: "Largest request body", Unit: "size such as 64KiB", Range: rangeBuffered, Help: "with upload rules up to " + Size(maxBodyBytes).String()},
	"max_buffered_answer_bytes": {Label: "Largest buffered response", Unit: "size such as 64KiB", Range: rangeBuffered, Help: "responses up to this size are buffered until they are complete"},
	"upload":                    {Label: "Upload rules", Help: "for large request bodies that are streamed"},
	"large_bodies":              {Label: "Large bodies", Range: "true or false", Help: "raises the cost of other zones and regions"},
	"large_responses":           {Label: "Large responses", Range: "true or false", Help: "raises the cost of other zones and regions"},
	"timeout":                   {Label: "Timeout", Unit: "time such as 1.5s", Range: timeRange(0, maxDeadline), Help: "limit on a caller's wait, 0 for none"},
	"objective":                 {Label: "Latency objective", Unit: "time such as 800ms", Range: timeRange(0, maxDeadline), Help: "0 for none"},
	"priority":                  {Label: "Priority", Range: intRange(0, maxPriority), Help: "0 is served first"},
	"max_attempts":              {Label: "Maximum attempts", Unit: "targets that one request is sent to", Range: intRange(0, maxAttempts), Help: "0 for the limit of the service"},
}

var healthInfos = map[string]FieldInfo{
	"balance":          {Label: "Balance", Range: rangeFraction, Help: "0 avoids false ejections, 1 minimizes detection time"},
	"failure_statuses": {Label: "Failure statuses", Unit: "HTTP statuses", Range: rangeStatus, Help: "count as failures"},
	"shed_statuses":    {Label: "Shed statuses", Unit: "HTTP statuses", Range: rangeStatus, Help: "indicate overload, not failure"},
	"probe_path":       {Label: "Probe path", Range: rangePath, Help: "empty disables probes"},
	"probe_interval":   {Label: "Probe interval", Unit: "time such as 2s", Range: timeRange(minProbeInterval, maxDeadline)},
	"load_path":        {Label: "Load report path", Range: rangePath, Help: "empty disables load reports; requires a probe path"},
}
