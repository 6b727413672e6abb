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
	return command("serve --settings FILE", "run an instance until SIGTERM; SIGHUP reloads tokens and the log level", fs, func(ctx context.Context) error {
		if err := required(fs, "settings"); err != nil {
			return err
		}
		s, err := settings.Load(*path)
		if err != nil {
			return err
		}
		r := &reloader{path: *path, out: make(chan settings.Settings)}
		go r.run(ctx)
		return serve(ctx, instance.New(s, instance.Options{LogOutput: os.Stderr, Reload: r.out}))
	})
}

// reloader reads the settings file again on SIGHUP.
type reloader struct {
	path string
	out  chan settings.Settings
}

func (r *reloader) run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	// The signal stays caught after the end of run: it would otherwise end a
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
		case r.out <- s:
		case <-ctx.Done():
			return
		}
	}
}

var errFailed = errors.New("the instance has failed; see its log")

// serve runs the application until a signal or its own failure ends it.
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
		return errFailed
	}
	return nil
}

func tryCommand() *ffcli.Command {
	fs := flag.NewFlagSet("try", flag.ContinueOnError)
	asJSON := fs.Bool("json", false, "print the report as JSON")
	verbose := fs.Bool("verbose", false, "print the log of the instances")
	return command("try [--json] [--verbose]", "run the whole path in one process and check the promises", fs,
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
				return errNotAsPromised
			}
			return nil
		})
}

var errNotAsPromised = errors.New("not all as promised")

func checkCommand() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	path := fs.String("settings", "", "settings file of an instance in TOML")
	fleet := fs.String("fleet", "", "fleet configuration file in TOML")
	return command("check [--settings FILE] [--fleet FILE]", "check files without starting; prints file, line, key and what is allowed", fs, func(context.Context) error {
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
	return command("init --settings FILE", "prepare the data directory of a new control instance, once", fs, func(ctx context.Context) error {
		if err := required(fs, "settings"); err != nil {
			return err
		}
		s, err := settings.Load(*path)
		if err != nil {
			return err
		}
		if err := initFolder(ctx, s); err != nil {
			return err
		}
		_, err = fmt.Printf("data folder %s now belongs to %s\n", s.Instance.DataDir, s.Instance.ID)
		return err
	})
}

var errFleetExists = errors.New("the fleet has a configuration already, so this instance may have voted in it before; " +
	"to replace its data, remove the instance with 'azurestair members', set control.learner = true and run init again")

// fleetTimeout bounds the question whether the fleet exists.
const fleetTimeout = 2 * time.Second

// initFolder refuses to make a first voter of a fleet that is running: an empty
// data folder there is a lost disk, and with it lost votes.
func initFolder(ctx context.Context, s settings.Settings) error {
	if s.Control.Learner {
		return disk.InitJoining(s.Instance.DataDir, s.Instance.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
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
