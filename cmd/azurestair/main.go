// Command azurestair runs an instance and is the operators' command line.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().ParseAndRun(ctx, os.Args[1:])
	if err == nil {
		return
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "azurestair:", err)
	}
	stop()
	os.Exit(1) //nolint:gocritic // stop has run
}

func root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "azurestair",
		ShortUsage: "azurestair <command> [flags]",
		Subcommands: []*ffcli.Command{
			serveCommand(), tryCommand(), checkCommand(), initCommand(), configCommand(),
			drainCommand("drain", "take an upstream, an entry or a failure domain out of service"),
			drainCommand("undrain", "return a target to service"),
			membersCommand(), statusCommand(), auditCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// command returns a command whose flags may also be given as AZURESTAIR_ variables.
func command(usage, help string, fs *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: fs.Name(), ShortUsage: "azurestair " + usage, ShortHelp: help, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix("AZURESTAIR")}, Exec: exec,
	}
}
