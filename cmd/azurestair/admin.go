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

// callTimeout bounds one call of the administration API.
const callTimeout = 40 * time.Second

// adminFlags are the flags of every command that calls the administration API.
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
		token: fs.String("token", "", "operator token (required); give it as the variable AZURESTAIR_TOKEN, since other users of the machine see flags"),
	}
}

// client checks that all required flags were given and returns a client of the API.
func (f adminFlags) client(names ...string) (*operator.Client, error) {
	if err := required(f.fs, append(names, "token")...); err != nil {
		return nil, err
	}
	return &operator.Client{Addr: *f.addr, Token: *f.token, HTTP: &http.Client{Timeout: callTimeout}}, nil
}

// changeFlags are the flags of every command that changes something.
type changeFlags struct {
	adminFlags
	id     *string
	reason *string
}

func newChangeFlags(name string) changeFlags {
	f := newAdminFlags(name)
	return changeFlags{
		adminFlags: f,
		id:         f.fs.String("change-id", "", "id under which a resend gets the first result; default random, printed on an error"),
		reason:     f.fs.String("reason", "", "written reason for the audit trail (required)"),
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
		FlagSet: fs, Subcommands: []*ffcli.Command{configGet(), configApply(), configHistory()},
		Exec: func(_ context.Context, args []string) error { return groupError("subcommand of config", args) },
	}
}

func configGet() *ffcli.Command {
	f := newAdminFlags("get")
	return command("config get", "print the configuration in effect", f.fs, func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		a, err := c.Config(ctx)
		if err != nil {
			return err
		}
		return printJSON(a)
	})
}

func configHistory() *ffcli.Command {
	f := newAdminFlags("history")
	return command("config history", "list the newest versions", f.fs, func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		a, err := c.History(ctx)
		if err != nil {
			return err
		}
		return printJSON(a)
	})
}

func configApply() *ffcli.Command {
	f := newChangeFlags("apply")
	file := f.fs.String("file", "", "fleet configuration file in TOML (required)")
	base := f.fs.Uint64("base", 0, "version that the file was made from (required); 'azurestair config get' prints the one in effect, 0 is before the first")
	wait := f.fs.Duration("wait", 2*time.Second, "how long to wait until all instances have applied it, at most 30s")
	return command("config apply --file FILE --base VERSION --reason TEXT", "replace the configuration", f.fs,
		func(ctx context.Context) error {
			c, err := f.client("file", "base", "reason")
			if err != nil {
				return err
			}
			cfg, err := settings.LoadFleet(*file)
			if err != nil {
				return err
			}
			a, err := c.Apply(ctx, operator.ConfigRequest{
				ChangeID: f.changeID(), Reason: *f.reason, BaseVersion: azurestair.ConfigVersion(*base),
				Config: cfg, WaitMs: azurestair.MillisOf(*wait),
			})
			return f.finish(a, err)
		})
}

// finish prints the answer to a change. Without an answer the change may have
// been made, so the error names the id for the resend.
func (f changeFlags) finish(a operator.ChangeAnswer, err error) error {
	if a.Code != "" {
		if perr := printJSON(a); perr != nil {
			return perr
		}
	}
	if errors.Is(err, azurestair.ErrNoQuorum) || errors.Is(err, operator.ErrNoAnswer) {
		return fmt.Errorf("%w; the change may have been made: resend it with --change-id %s", err, f.changeID())
	}
	return err
}

func drainCommand(name, help string) *ffcli.Command {
	f := newChangeFlags(name)
	kind := f.fs.String("kind", string(azurestair.TargetUpstream), "kind of target: upstream, failureDomain or instance (an entry)")
	target := f.fs.String("name", "", "id of the target (required)")
	usage := fmt.Sprintf("%s --kind KIND --name NAME --reason TEXT", name)
	return command(usage, help, f.fs, func(ctx context.Context) error {
		c, err := f.client("name", "reason")
		if err != nil {
			return err
		}
		q := operator.DrainRequest{
			ChangeID: f.changeID(), Reason: *f.reason,
			Target: azurestair.Target{Kind: azurestair.TargetKind(*kind), Name: *target},
		}
		call := c.Drain
		if name == "undrain" {
			call = c.Undrain
		}
		return f.finish(call(ctx, q))
	})
}

func membersCommand() *ffcli.Command {
	f := newChangeFlags("members")
	action := f.fs.String("action", "", "addLearner (no vote), promote (a learner gets its vote) or remove (required)")
	name := f.fs.String("name", "", "id of the instance (required)")
	return command("members --action ACTION --name INSTANCE --reason TEXT", "change who replicates the log and votes in it", f.fs,
		func(ctx context.Context) error {
			c, err := f.client("action", "name", "reason")
			if err != nil {
				return err
			}
			return f.finish(c.Members(ctx, operator.MemberRequest{
				ChangeID: f.changeID(), Reason: *f.reason,
				Action: azurestair.MemberAction(*action), Instance: azurestair.InstanceID(*name),
			}))
		})
}

func statusCommand() *ffcli.Command {
	f := newAdminFlags("status")
	return command("status [--addr ADDRESS]", "print what an instance knows", f.fs, func(ctx context.Context) error {
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
	who := f.fs.String("operator", "", "only changes of this operator")
	limit := f.fs.Int("limit", control.DefaultAuditLimit, "number of records, newest first")
	return command("audit [--operator NAME] [--limit N]", "list who changed what, when and why", f.fs, func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		a, err := c.Audit(ctx, control.AuditQuery{Operator: azurestair.OperatorName(*who), Limit: *limit})
		if err != nil {
			return err
		}
		return printJSON(a)
	})
}
