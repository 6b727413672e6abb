// Command azurestair-load starts a fleet on the loopback interface and measures
// its performance.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"azurestair.example/azurestair/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name: "azurestair-load", ShortUsage: "azurestair-load run [flags]",
		Subcommands: []*ffcli.Command{runCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err == nil {
		return
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "azurestair-load:", err)
	}
	stop()
	os.Exit(1) //nolint:gocritic // stop has run
}

func runCommand() *ffcli.Command {
	var o load.Options
	fs := flag.NewFlagSet("run", flag.ContinueOnError)
	fs.StringVar(&o.Binary, "binary", "azurestair", "azurestair binary that runs an instance")
	fs.IntVar(&o.Entries, "entries", 7, "number of instances, all of them entries")
	fs.IntVar(&o.Controls, "controls", 3, "number of entries that also replicate the log")
	fs.IntVar(&o.Procs, "procs", 2, "processors per instance (GOMAXPROCS)")
	fs.StringVar(&o.Deployment, "deployment", "addis", "addis or inkingi")
	fs.DurationVar(&o.Delay, "delay", 0, "one-way delay between callers and entries")
	fs.DurationVar(&o.RegionDelay, "region-delay", 0, "one-way delay between instances of different regions")
	fs.DurationVar(&o.Duration, "duration", 6*time.Second, "duration of each measured load")
	only := fs.String("only", "", "comma-separated scenarios; default: all of "+strings.Join(load.ScenarioNames(), ","))
	asJSON := fs.Bool("json", false, "print the report as JSON")
	return &ffcli.Command{
		Name: "run", ShortUsage: "azurestair-load run --binary FILE [flags]", FlagSet: fs,
		ShortHelp: "start a fleet, measure the scenarios and stop the fleet",
		Exec: func(ctx context.Context, _ []string) error {
			if *only != "" {
				o.Only = strings.Split(*only, ",")
			}
			r, err := load.Run(ctx, o)
			if err != nil {
				return err
			}
			if !*asJSON {
				return r.Write(os.Stdout)
			}
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", "  ")
			return enc.Encode(r)
		},
	}
}
