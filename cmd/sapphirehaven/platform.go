package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/app"
	"github.com/sapphirehaven/sapphirehaven/platform"
)

// entryHeaderTimeout bounds the header of a call to the entry.
const entryHeaderTimeout = 5 * time.Second

// addressMaxAge is how long callers keep an address answer, so that they soon
// leave a host that is gone.
const addressMaxAge = time.Second

// memoryShare is the share of the process's memory that the runtime may use before it
// collects garbage more often. The rest is for bytes that are received and not read,
// which the platform counts as well.
const memoryShare = 0.75

// runOnPlatform runs a host with the platform's store.
func runOnPlatform(settings app.Settings) error {
	own, err := platform.LoadSettings(settings.ConfigPath)
	if err != nil {
		return errors.Wrap(err, "-config")
	}
	log, err := app.NewLogger(os.Stdout, settings.LogLevel, string(own.Host))
	if err != nil {
		return err
	}
	if own.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(own.MemoryBytes)))
	}
	ctx, stop := untilStopped()
	defer stop()
	gateway, err := app.NewGateway(gatewaySettings(own), platform.NewStore(own, log), log)
	if err != nil {
		return err
	}
	entry := &http.Server{Handler: platform.NewHandler(gateway), ReadHeaderTimeout: entryHeaderTimeout}
	defer entry.Close()
	for _, address := range []string{own.ReadyAddress, own.ResolveAddress} {
		sock, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "entry address")
		}
		go func() {
			if err := entry.Serve(sock); !errors.Is(err, http.ErrServerClosed) {
				log.WithError(err).Error("the entry is not served any more")
				stop()
			}
		}()
	}
	go reload(ctx, settings.ConfigPath, own, log)
	return gateway.Run(ctx)
}

func gatewaySettings(own platform.Settings) app.GatewaySettings {
	return app.GatewaySettings{
		Host:          own.Host,
		Location:      own.Location,
		CallerAddress: own.CallerAddress,
		PeerAddress:   own.PeerAddress,
		AdminAddress:  own.AdminAddress,
		Regions:       own.RegionCount(),
		Seeds:         own.Seeds,
		Millicores:    own.Millicores,
		AddressMaxAge: min(addressMaxAge, own.Bounds.MaxAddressAge),
		GracePeriod:         own.Bounds.Grace,
		RetryRatio:    own.Bounds.RetryRatio,
		RetrySlack:    own.Bounds.RetrySlack,
		RetryWindow:   own.Bounds.RetryWindow,
		Dialect:       platform.Dialect(),
	}
}

// reload reads the settings file again at SIGHUP and says what it found. The
// settings of a running host are those of its start: seeds matter only then, and
// addresses cannot change.
func reload(ctx context.Context, path string, own platform.Settings, log logrus.FieldLogger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).Error("the settings file was not reloaded")
			continue
		}
		log.WithField("bounds_changed", next.Bounds != own.Bounds).Info("the settings file was read again; changes take effect at the next start")
	}
}
