package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/httpserver"
	"github.com/sapphirehaven/sapphirehaven/internal/app"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/platform"
)

// Limits of requests and connections to the readiness and resolution addresses. Requests there have no body,
// responses have a few kilobytes, and callers resolve the addresses of hosts every few seconds.
const (
	maxHeaderBytes  = 16 << 10
	headerTimeout   = 5 * time.Second
	requestTimeout  = 5 * time.Second
	responseTimeout = 10 * time.Second
	idleTimeout     = time.Minute
)

// resolutionStopTimeout limits how long a stopped host waits for requests to the readiness
// and resolution addresses.
const resolutionStopTimeout = 50 * time.Millisecond

// addressMaxAge is how long callers may cache an address response. It is short, so
// that callers soon stop using a host that is gone.
const addressMaxAge = time.Second

// runOnPlatform runs a host that takes configuration and targets from the
// platform's store.
func runOnPlatform(settings app.Settings, signals *signals) error {
	platformSettings, err := platform.LoadSettings(settings.ConfigPath)
	if err != nil {
		return errors.Wrap(err, "-config")
	}
	log, flush, err := app.NewLogger(os.Stdout, settings.LogLevel, string(platformSettings.Host))
	if err != nil {
		return err
	}
	defer flush()
	ctx, stop := context.WithCancel(signals.handle(log))
	defer stop()
	gateway, err := app.NewGateway(gatewaySettings(platformSettings), platform.NewStore(platformSettings, log), log)
	if err != nil {
		return err
	}
	limits := app.NewClientLimits(platformSettings.MemoryBytes, platformSettings.MaxFiles)
	server := httpserver.New(httpserver.Config{
		Handler: platform.NewHandler(gateway), ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes, RequestTimeout: requestTimeout, ResponseTimeout: responseTimeout,
		IdleTimeout: idleTimeout, Limits: limits.Directory(),
	})
	defer server.Stop(resolutionStopTimeout)
	gateway.WatchServer("directory", server)
	for _, address := range []string{platformSettings.ReadyAddress, platformSettings.ResolveAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen address")
		}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				log.WithError(err).Error("the readiness and resolution server stopped")
				stop()
			}
		}()
	}
	go checkSettings(ctx, signals.hangups, settings.ConfigPath, platformSettings, log)
	signals.serving.Store(true)
	return gateway.Run(ctx)
}

// gatewaySettings converts the platform's settings to those of the gateway.
func gatewaySettings(s platform.Settings) app.GatewaySettings {
	return app.GatewaySettings{
		Host:           s.Host,
		Location:       s.Location,
		CallerAddress:  s.CallerAddress,
		PeerAddress:    s.PeerAddress,
		AdminAddress:   s.AdminAddress,
		Regions:        s.RegionCount(),
		RegionNames:    s.RegionNames(),
		Seeds:          s.Seeds,
		Millicores:     s.Millicores,
		LinkMbps:       s.LinkMbps,
		Distance:       s.Bounds.Distance,
		AddressMaxAge:  min(addressMaxAge, s.Bounds.MaxAddressAge),
		GracePeriod:    s.Bounds.Grace,
		RetryRatio:     s.Bounds.RetryRatio,
		RetryAllowance: s.Bounds.RetryAllowance,
		RetryWindow:    s.Bounds.RetryWindow,
		DrainTime:      s.Bounds.DrainTime,
		QuotaBounds:    ratelimit.QuotaBounds{Window: s.Bounds.QuotaWindow, Overshoot: s.Bounds.QuotaOvershoot, Slack: s.Bounds.QuotaSlack},
		Dialect:        platform.Dialect(),

		ConfigurationAge: s.Bounds.ConfigurationAge,
		StrictRevoke:     s.Bounds.StrictRevoke,
		RevokeAge:        s.Bounds.RevokeAge,

		Limits: app.NewClientLimits(s.MemoryBytes, s.MaxFiles),
	}
}

// checkSettings reads the settings file again on each hangup and logs the result. It does not
// change the settings of the running host: seeds are used only at the start, and addresses cannot
// change.
func checkSettings(ctx context.Context, hangups <-chan struct{}, path string, initial platform.Settings, log logrus.FieldLogger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		current, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).Error("failed to read the settings file")
			continue
		}
		log.WithField("bounds_changed", current.Bounds != initial.Bounds).Info("read the settings file; changes take effect at the next start")
	}
}
