package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/fx"

	"azurestair.example/azurestair/disk"
	"azurestair.example/azurestair/instance"
	"azurestair.example/azurestair/settings"
	"azurestair.example/azurestair/try"
)

func serveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	path := fs.String("settings", "", "settings file of this instance in TOML (required)")
	return newCommand("serve --settings FILE", "run an instance until SIGTERM; SIGHUP reloads tokens and the log level", fs, func(ctx context.Context) error {
		if err := checkRequired(fs, "settings"); err != nil {
			return err
		}
		s, err := settings.Load(*path)
		if err != nil {
			return err
		}
		r := &reloader{path: *path, reloads: make(chan settings.Settings)}
		go r.run(ctx)
		return serve(ctx, instance.New(s, instance.Options{LogOutput: os.Stderr, Reload: r.reloads}))
	})
}

// reloader reloads the settings file on SIGHUP.
type reloader struct {
	path    string
	reloads chan settings.Settings
}

func (r *reloader) run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	// run does not call signal.Stop, because SIGHUP would then terminate a
	// process that is still shutting down.
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		s, err := settings.Load(r.path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "azurestair: settings not reloaded:", err)
			continue
		}
		select {
		case r.reloads <- s:
		case <-ctx.Done():
			return
		}
	}
}

var errInstanceFailed = errors.New("the instance failed; see its log")

// serve runs the application until ctx is cancelled or the application shuts
// itself down after a failure.
func serve(ctx context.Context, app *fx.App) error {
	startCtx, cancel := context.WithTimeout(ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	code := 0
	select {
	case <-ctx.Done():
	case sig := <-app.Wait():
		code = sig.ExitCode
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return err
	}
	if code != 0 {
		return errInstanceFailed
	}
	return nil
}

func tryCommand() *ffcli.Command {
	fs := flag.NewFlagSet("try", flag.ContinueOnError)
	asJSON := fs.Bool("json", false, "print the report as JSON")
	verbose := fs.Bool("verbose", false, "print the log of the instances")
	return newCommand("try [--json] [--verbose]", "run an embedded fleet in one process and check it end to end", fs,
		func(ctx context.Context) error {
			log := io.Discard
			if *verbose {
				log = os.Stderr
			}
			r, err := try.Run(ctx, log)
			if err != nil {
				return err
			}
			if *asJSON {
				if err := printJSON(r); err != nil {
					return err
				}
			} else {
				r.Write(os.Stdout)
			}
			if !r.OK {
				return errTryFailed
			}
			return nil
		})
}

var errTryFailed = errors.New("not all as promised")

func checkCommand() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	path := fs.String("settings", "", "settings file of an instance in TOML")
	fleet := fs.String("fleet", "", "fleet configuration file in TOML")
	return newCommand("check [--settings FILE] [--fleet FILE]", "check files without starting an instance; errors give file, line, key and allowed values", fs, func(context.Context) error {
		if *path == "" && *fleet == "" {
			return usageError("check: give --settings FILE, --fleet FILE or both")
		}
		var errs []error
		if *path != "" {
			_, err := settings.Load(*path)
			errs = append(errs, err)
		}
		if *fleet != "" {
			_, err := settings.LoadFleet(*fleet)
			errs = append(errs, err)
		}
		return errors.Join(errs...)
	})
}

func initCommand() *ffcli.Command {
	fs := flag.NewFlagSet("init", flag.ContinueOnError)
	path := fs.String("settings", "", "settings file of this instance in TOML (required)")
	return newCommand("init --settings FILE", "initialise the data directory of a new control instance", fs, func(ctx context.Context) error {
		if err := checkRequired(fs, "settings"); err != nil {
			return err
		}
		s, err := settings.Load(*path)
		if err != nil {
			return err
		}
		if err := initDataDir(ctx, s); err != nil {
			return err
		}
		_, err = fmt.Printf("initialised data directory %s for %s\n", s.Instance.DataDir, s.Instance.ID)
		return err
	})
}

var errFleetExists = errors.New("the fleet already has a configuration, so this instance may have voted in it before; " +
	"to replace its data, remove the instance with 'azurestair members', set control.learner = true and run init again")

// fleetQueryTimeout limits the check whether the fleet already exists.
const fleetQueryTimeout = 2 * time.Second

// initDataDir initialises the data directory. It refuses to do so for an
// initial voter of a running fleet: an empty data directory there means that
// the disk was lost, and with it the record of the votes that the instance has
// cast.
func initDataDir(ctx context.Context, s settings.Settings) error {
	if s.Control.Learner {
		return disk.InitJoining(s.Instance.DataDir, s.Instance.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, fleetQueryTimeout)
	defer cancel()
	exists, err := instance.FleetExists(ctx, s)
	if err != nil {
		return err
	}
	if exists {
		return errFleetExists
	}
	return disk.Init(s.Instance.DataDir, s.Instance.ID)
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
