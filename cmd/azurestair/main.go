// Command azurestair runs an instance and provides the command line for
// operators.
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"azurestair.example/azurestair/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status) //nolint:gocritic // stop has run
}

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage means that the command line is invalid.
	exitUsage = 2
)

// errUsage is matched by all errors in the command line.
var errUsage = errors.New("wrong command line")

// usageError matches errUsage and prints only its own text.
type usageError string

// Error returns the text.
func (e usageError) Error() string { return string(e) }

// Is reports whether target is errUsage.
func (e usageError) Is(target error) bool { return target == errUsage }

// run executes a command line and returns its exit status. Help is written to
// out, errors to errOut.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	// The flag package prints the usage after each invalid flag. It is buffered
	// here, so that it is printed only on request.
	var usage bytes.Buffer
	cmd := newRootCommand()
	setOutput(cmd, &usage)
	if err := cmd.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			_, _ = usage.WriteTo(out)
			return exitOK
		}
		_, _ = fmt.Fprintf(errOut, "azurestair: %v; add --help for the flags\n", err)
		return exitUsage
	}
	err := cmd.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		_, _ = usage.WriteTo(errOut)
		return exitUsage
	}
	writeError(errOut, err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func setOutput(c *ffcli.Command, w io.Writer) {
	if c.FlagSet == nil {
		c.FlagSet = flag.NewFlagSet(c.Name, flag.ContinueOnError)
	}
	c.FlagSet.SetOutput(w)
	for _, sub := range c.Subcommands {
		setOutput(sub, w)
	}
}

// writeError prints an error. Errors in a file have no prefix, because editors
// expect file and line at the start of the line.
func writeError(w io.Writer, err error) {
	var fileErr *settings.Error
	if errors.As(err, &fileErr) {
		_, _ = fmt.Fprintln(w, err)
		return
	}
	_, _ = fmt.Fprintln(w, "azurestair:", err)
}

func newRootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "azurestair",
		ShortUsage: "azurestair <command> [flags]",
		Subcommands: []*ffcli.Command{
			serveCommand(), platformCommand(), modelCommand(), tryCommand(), checkCommand(), initCommand(), configCommand(),
			drainCommand("drain", "take an upstream, an entry or a failure domain out of service"),
			drainCommand("undrain", "return a target to service"),
			membersCommand(), statusCommand(), auditCommand(),
		},
		LongHelp: "Each flag may also be set by an environment variable: AZURESTAIR_ and the name in capitals, for example\n" +
			"AZURESTAIR_TOKEN, AZURESTAIR_ADDR or AZURESTAIR_CHANGE_ID. Exit status: 0 done, 1 failed or refused,\n" +
			"2 wrong command line.",
		Exec: func(_ context.Context, args []string) error { return unknownCommandError("command", args) },
	}
}

// unknownCommandError returns the error of a command that has only subcommands:
// flag.ErrHelp without arguments, otherwise a usage error.
func unknownCommandError(kind string, args []string) error {
	if len(args) == 0 {
		return flag.ErrHelp
	}
	return usageError(fmt.Sprintf("unknown %s %q; add --help for the list", kind, args[0]))
}

// checkRequired returns a usage error if one of the named flags is not set.
func checkRequired(fs *flag.FlagSet, names ...string) error {
	given := map[string]bool{}
	fs.Visit(func(f *flag.Flag) { given[f.Name] = f.Value.String() != "" })
	for _, name := range names {
		if !given[name] {
			return usageError(fmt.Sprintf("%s: --%s is missing: %s", fs.Name(), name, fs.Lookup(name).Usage))
		}
	}
	return nil
}

// newCommand returns a command whose flags may also be set by AZURESTAIR_
// environment variables. It rejects arguments other than flags.
func newCommand(usage, help string, fs *flag.FlagSet, exec func(context.Context) error) *ffcli.Command {
	checked := func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usageError(fmt.Sprintf("%s: unexpected argument %q; add --help for the flags", fs.Name(), args[0]))
		}
		return exec(ctx)
	}
	return &ffcli.Command{
		Name: fs.Name(), ShortUsage: "azurestair " + usage, ShortHelp: help, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix("AZURESTAIR")}, Exec: checked,
	}
}
