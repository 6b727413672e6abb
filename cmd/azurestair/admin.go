package main

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/control"
	"azurestair.example/azurestair/operator"
	"azurestair.example/azurestair/settings"
)

// requestTimeout limits one request to the administration API.
const requestTimeout = 40 * time.Second

// adminFlags are the flags of all commands that call the administration API.
type adminFlags struct {
	fs    *flag.FlagSet
	addr  *string
	token *string
}

func newAdminFlags(name string) adminFlags {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	return adminFlags{
		fs:    fs,
		addr:  fs.String("addr", "127.0.0.1:7113", "listen.operators of any instance"),
		token: fs.String("token", "", "operator token (required); prefer the environment variable AZURESTAIR_TOKEN, because flags are visible to other users of the machine"),
	}
}

// client checks that the required flags are set and returns an API client.
func (f adminFlags) client(requiredFlags ...string) (*operator.Client, error) {
	if err := checkRequired(f.fs, append(requiredFlags, "token")...); err != nil {
		return nil, err
	}
	return &operator.Client{Addr: *f.addr, Token: *f.token, HTTP: &http.Client{Timeout: requestTimeout}}, nil
}

// changeFlags are the flags of all commands that make a change.
type changeFlags struct {
	adminFlags
	id     *string
	reason *string
}

func newChangeFlags(name string) changeFlags {
	f := newAdminFlags(name)
	return changeFlags{
		adminFlags: f,
		id:         f.fs.String("change-id", "", "change id; a resend with the same id returns the first result; default random, printed on an error"),
		reason:     f.fs.String("reason", "", "reason recorded in the audit trail (required)"),
	}
}

func (f changeFlags) changeID() azurestair.ChangeID {
	if *f.id == "" {
		*f.id = rand.Text()
	}
	return azurestair.ChangeID(*f.id)
}

func configCommand() *ffcli.Command {
	fs := flag.NewFlagSet("config", flag.ContinueOnError)
	return &ffcli.Command{
		Name: fs.Name(), ShortUsage: "azurestair config get|apply|history", ShortHelp: "read or change the fleet configuration",
		FlagSet: fs, Subcommands: []*ffcli.Command{configGetCommand(), configApplyCommand(), configHistoryCommand()},
		Exec: func(_ context.Context, args []string) error { return unknownCommandError("subcommand of config", args) },
	}
}

func configGetCommand() *ffcli.Command {
	f := newAdminFlags("get")
	return newCommand("config get", "print the configuration in effect", f.fs, func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		resp, err := c.Config(ctx)
		if err != nil {
			return err
		}
		return printJSON(resp)
	})
}

func configHistoryCommand() *ffcli.Command {
	f := newAdminFlags("history")
	return newCommand("config history", "list the most recent versions", f.fs, func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		resp, err := c.History(ctx)
		if err != nil {
			return err
		}
		return printJSON(resp)
	})
}

func configApplyCommand() *ffcli.Command {
	f := newChangeFlags("apply")
	file := f.fs.String("file", "", "fleet configuration file in TOML (required)")
	base := f.fs.Uint64("base", 0, "version that the file is based on (required); 'azurestair config get' prints the version in effect, 0 before the first version")
	wait := f.fs.Duration("wait", 2*time.Second, "how long to wait until all instances have applied it, at most 30s")
	return newCommand("config apply --file FILE --base VERSION --reason TEXT", "replace the configuration", f.fs,
		func(ctx context.Context) error {
			c, err := f.client("file", "base", "reason")
			if err != nil {
				return err
			}
			cfg, err := settings.LoadFleet(*file)
			if err != nil {
				return err
			}
			resp, err := c.Apply(ctx, operator.ConfigRequest{
				ChangeID: f.changeID(), Reason: *f.reason, BaseVersion: azurestair.ConfigVersion(*base),
				Config: cfg, WaitMs: azurestair.MillisOf(*wait),
			})
			return f.printResult(resp, err)
		})
}

// printResult prints the result of a change. If the outcome is unknown, the
// change may have been made, so the error contains the change id for a resend.
func (f changeFlags) printResult(a operator.ChangeResponse, err error) error {
	if a.Code != "" {
		if perr := printJSON(a); perr != nil {
			return perr
		}
	}
	if errors.Is(err, azurestair.ErrNoQuorum) || errors.Is(err, operator.ErrNoResponse) {
		return fmt.Errorf("%w; the change may have been made: resend it with --change-id %s", err, f.changeID())
	}
	return err
}

func drainCommand(name, help string) *ffcli.Command {
	f := newChangeFlags(name)
	kind := f.fs.String("kind", string(azurestair.TargetUpstream), "kind of target: upstream, failureDomain or instance (an entry)")
	target := f.fs.String("name", "", "id of the target (required)")
	usage := fmt.Sprintf("%s --kind KIND --name NAME --reason TEXT", name)
	return newCommand(usage, help, f.fs, func(ctx context.Context) error {
		c, err := f.client("name", "reason")
		if err != nil {
			return err
		}
		req := operator.DrainRequest{
			ChangeID: f.changeID(), Reason: *f.reason,
			Target: azurestair.Target{Kind: azurestair.TargetKind(*kind), Name: *target},
		}
		call := c.Drain
		if name == "undrain" {
			call = c.Undrain
		}
		return f.printResult(call(ctx, req))
	})
}

func membersCommand() *ffcli.Command {
	f := newChangeFlags("members")
	action := f.fs.String("action", "", "addLearner (no vote), promote (a learner gets its vote) or remove (required)")
	name := f.fs.String("name", "", "id of the instance (required)")
	return newCommand("members --action ACTION --name INSTANCE --reason TEXT", "change the members and voters of the log", f.fs,
		func(ctx context.Context) error {
			c, err := f.client("action", "name", "reason")
			if err != nil {
				return err
			}
			return f.printResult(c.ChangeMembership(ctx, operator.MemberRequest{
				ChangeID: f.changeID(), Reason: *f.reason,
				Action: azurestair.MemberAction(*action), Instance: azurestair.InstanceID(*name),
			}))
		})
}

func statusCommand() *ffcli.Command {
	f := newAdminFlags("status")
	return newCommand("status [--addr ADDRESS]", "print the state of the fleet as seen by an instance", f.fs, func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		st, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return printJSON(st)
	})
}

func auditCommand() *ffcli.Command {
	f := newAdminFlags("audit")
	operatorName := f.fs.String("operator", "", "only changes of this operator")
	limit := f.fs.Int("limit", control.DefaultAuditLimit, "number of records, newest first")
	return newCommand("audit [--operator NAME] [--limit N]", "list who changed what, when and why", f.fs, func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		resp, err := c.Audit(ctx, control.AuditQuery{Operator: azurestair.OperatorName(*operatorName), Limit: *limit})
		if err != nil {
			return err
		}
		return printJSON(resp)
	})
}
