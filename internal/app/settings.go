package app

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

// EnvPrefix is the prefix of the environment variables that stand for flags:
// -host-id is SAPPHIREHAVEN_HOST_ID.
const EnvPrefix = "SAPPHIREHAVEN"

// Settings are the settings of the daemon. Each comment gives the default.
type Settings struct {
	// Config is the path of the platform's settings file. With it, the host takes
	// its addresses, the configuration and the targets from the platform, and of
	// the settings below only LogLevel is used.
	ConfigPath string
	// HostID names this host; required.
	HostID string
	// Region and Zone are this host's location; required.
	Region string
	Zone   string
	// CallerListen, AdminListen and PeerListen are IP:port; the peer port is
	// used with TCP and UDP. Defaults 127.0.0.1:8080, :8081 and :8082.
	CallerListen string
	AdminListen  string
	PeerListen   string
	// CallerAdvertise, AdminAdvertise and PeerAdvertise are the addresses told
	// to others; default: the listen address.
	CallerAdvertise string
	AdminAdvertise  string
	PeerAdvertise   string
	// LogURL and HostsURL are the platform's services; required.
	LogURL   string
	HostsURL string
	// AdminToken allows writing through the administration interface; default
	// empty, which turns writing off.
	AdminToken string
	// LogRetention is how long the log service keeps records; default 24h.
	LogRetention time.Duration
	// AddressMaxAge is how long a caller may keep an address answer; default 5s.
	AddressMaxAge time.Duration
	// TicketTTL is how long a ticket can be used and its outcome is stored;
	// default 10m.
	TicketTTL time.Duration
	// DrainLimit bounds a graceful shutdown; default 60s. It must be more than
	// AddressMaxAge plus 3 s.
	DrainLimit time.Duration
	// MaxHeaderBytes bounds the header of a caller's request; default 65536.
	MaxHeaderBytes int
	// LogLevel is debug, info, warning or error; default info.
	LogLevel string
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		CallerListen:   "127.0.0.1:8080",
		AdminListen:    "127.0.0.1:8081",
		PeerListen:     "127.0.0.1:8082",
		LogRetention:   24 * time.Hour,
		AddressMaxAge:  5 * time.Second,
		TicketTTL:      10 * time.Minute,
		DrainLimit:     time.Minute,
		MaxHeaderBytes: 64 << 10,
		LogLevel:       "info",
	}
}

func (s *Settings) register(flags *flag.FlagSet) {
	flags.StringVar(&s.ConfigPath, "config", s.ConfigPath, "`path` of the platform's settings file; with it only -log-level is used besides")
	flags.StringVar(&s.HostID, "host-id", s.HostID, "`name` of this host, 1 to 128 letters, digits, '-', '_' or '.'; required")
	flags.StringVar(&s.Region, "region", s.Region, "`region` of this host; required")
	flags.StringVar(&s.Zone, "zone", s.Zone, "availability `zone` of this host; required")
	flags.StringVar(&s.CallerListen, "caller-listen", s.CallerListen, "`IP:port` for callers")
	flags.StringVar(&s.AdminListen, "admin-listen", s.AdminListen, "`IP:port` for administration and metrics")
	flags.StringVar(&s.PeerListen, "peer-listen", s.PeerListen, "`IP:port` for other hosts, TCP and UDP")
	flags.StringVar(&s.CallerAdvertise, "caller-advertise", s.CallerAdvertise, "`IP:port` told to callers (default: -caller-listen)")
	flags.StringVar(&s.AdminAdvertise, "admin-advertise", s.AdminAdvertise, "`IP:port` of administration told to other hosts (default: -admin-listen)")
	flags.StringVar(&s.PeerAdvertise, "peer-advertise", s.PeerAdvertise, "`IP:port` told to other hosts (default: -peer-listen)")
	flags.StringVar(&s.LogURL, "log-url", s.LogURL, "`URL` of the platform's log service; required")
	flags.StringVar(&s.HostsURL, "hosts-url", s.HostsURL, "`URL` of the platform's host list; required")
	flags.StringVar(&s.AdminToken, "admin-token", s.AdminToken, "`token` that allows writing, at least 16 characters; empty turns writing off")
	flags.DurationVar(&s.LogRetention, "log-retention", s.LogRetention, "how long the log service keeps records, 10s to 8760h")
	flags.DurationVar(&s.AddressMaxAge, "address-max-age", s.AddressMaxAge, "how long callers may keep an address answer, 100ms to 1h")
	flags.DurationVar(&s.TicketTTL, "ticket-ttl", s.TicketTTL, "how long a ticket is valid and its outcome is stored, 1s to 24h")
	flags.DurationVar(&s.DrainLimit, "drain-limit", s.DrainLimit, "longest graceful shutdown, 1s to 1h")
	flags.IntVar(&s.MaxHeaderBytes, "max-header-bytes", s.MaxHeaderBytes, "largest header of a caller's request in bytes, 1024 to 1048576")
	flags.StringVar(&s.LogLevel, "log-level", s.LogLevel, "debug, info, warning or error")
}

// ParseSettings reads flags and environment variables and checks them. Usage
// and errors of the flag package go to stderr. The error is flag.ErrHelp when
// help was asked for.
func ParseSettings(args []string, stderr io.Writer) (Settings, error) {
	s := DefaultSettings()
	flags := flag.NewFlagSet("sapphirehaven", flag.ContinueOnError)
	flags.SetOutput(stderr)
	s.register(flags)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: sapphirehaven [flags]\n\nEvery flag can be set by an environment variable, -host-id by %s_HOST_ID.\n\n", EnvPrefix)
		flags.PrintDefaults()
	}
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return s, err
	}
	if flags.NArg() > 0 {
		return s, errors.Errorf("unexpected argument %q: sapphirehaven takes only flags", flags.Arg(0))
	}
	s.setAdvertised()
	return s, s.check()
}

func (s *Settings) setAdvertised() {
	for _, pair := range []struct{ advertise, listen *string }{
		{&s.CallerAdvertise, &s.CallerListen},
		{&s.AdminAdvertise, &s.AdminListen},
		{&s.PeerAdvertise, &s.PeerListen},
	} {
		if *pair.advertise == "" {
			*pair.advertise = *pair.listen
		}
	}
}

// SettingsError lists every setting that is not accepted.
type SettingsError struct{ Problems []string }

// Error joins the problems, one a line.
func (e *SettingsError) Error() string { return strings.Join(e.Problems, "\n") }

func (s *Settings) check() error {
	e := &SettingsError{}
	e.checkLevel(s.LogLevel)
	if s.ConfigPath == "" {
		s.checkOwn(e)
	}
	if len(e.Problems) > 0 {
		return e
	}
	return nil
}

func (e *SettingsError) checkLevel(level string) {
	switch level {
	case "debug", "info", "warning", "error":
	default:
		e.add("log-level", "is %q, want debug, info, warning or error", level)
	}
}

// checkOwn checks the settings of a host that does not run on the platform.
func (s *Settings) checkOwn(e *SettingsError) {
	e.checkName("host-id", s.HostID)
	e.checkName("region", s.Region)
	e.checkName("zone", s.Zone)
	e.checkAddress("caller-listen", s.CallerListen)
	e.checkAddress("admin-listen", s.AdminListen)
	e.checkAddress("peer-listen", s.PeerListen)
	e.checkAddress("caller-advertise", s.CallerAdvertise)
	e.checkAddress("admin-advertise", s.AdminAdvertise)
	e.checkAddress("peer-advertise", s.PeerAdvertise)
	e.checkURL("log-url", s.LogURL)
	e.checkURL("hosts-url", s.HostsURL)
	e.checkDuration("log-retention", s.LogRetention, 10*time.Second, 8760*time.Hour)
	e.checkDuration("address-max-age", s.AddressMaxAge, 100*time.Millisecond, time.Hour)
	e.checkDuration("ticket-ttl", s.TicketTTL, time.Second, 24*time.Hour)
	e.checkDuration("drain-limit", s.DrainLimit, time.Second, time.Hour)
	// A shutdown first waits until callers have dropped their cached addresses.
	if least := s.AddressMaxAge + departureSpread; s.DrainLimit <= least {
		e.add("drain-limit", "is %s, want more than -address-max-age plus %s: %s", s.DrainLimit, departureSpread, least)
	}
	if s.AdminToken != "" && len(s.AdminToken) < 16 {
		e.add("admin-token", "has %d characters, want at least 16, or none to turn writing off", len(s.AdminToken))
	}
	if s.MaxHeaderBytes < 1024 || s.MaxHeaderBytes > 1<<20 {
		e.add("max-header-bytes", "is %d, want 1024 to 1048576", s.MaxHeaderBytes)
	}
}

func (e *SettingsError) add(flag, format string, args ...any) {
	e.Problems = append(e.Problems, "-"+flag+" "+fmt.Sprintf(format, args...))
}

func (e *SettingsError) checkName(flag, value string) {
	const maxLength = 128
	valid := value != "" && len(value) <= maxLength
	for _, r := range value {
		valid = valid && (r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
	}
	if !valid {
		e.add(flag, "is %q, want 1 to %d letters, digits, '-', '_' or '.'", value, maxLength)
	}
}

func (e *SettingsError) checkAddress(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		e.add(flag, "is %q, want IP:port with a port from 0 to 65535", value)
	}
}

func (e *SettingsError) checkURL(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		e.add(flag, "is %q, want a URL such as http://10.0.0.1:7000", value)
	}
}

func (e *SettingsError) checkDuration(flag string, value, low, high time.Duration) {
	if value < low || value > high {
		e.add(flag, "is %s, want %s to %s", value, low, high)
	}
}
