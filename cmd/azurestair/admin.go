package main

import (
	"context"
	"crypto/rand"
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
		addr:  fs.String("addr", "127.0.0.1:7113", "operators' address of an instance"),
		token: fs.String("token", "", "operator token; better given as AZURESTAIR_TOKEN"),
	}
}

func (f adminFlags) client() *operator.Client {
	return &operator.Client{Addr: *f.addr, Token: *f.token, HTTP: &http.Client{Timeout: callTimeout}}
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
		id:         f.fs.String("change-id", "", "id under which a resend is recognised; default random"),
		reason:     f.fs.String("reason", "", "written reason (required)"),
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
	c := command("config get|apply|history", "read or change the fleet configuration", fs, func(context.Context, []string) error {
		return flag.ErrHelp
	})
	c.Subcommands = []*ffcli.Command{configGet(), configApply(), configHistory()}
	return c
}

func configGet() *ffcli.Command {
	f := newAdminFlags("get")
	return command("config get", "print the configuration in effect", f.fs, func(ctx context.Context, _ []string) error {
		a, err := f.client().Config(ctx)
		if err != nil {
			return err
		}
		return printJSON(a)
	})
}

func configHistory() *ffcli.Command {
	f := newAdminFlags("history")
	return command("config history", "list the newest versions", f.fs, func(ctx context.Context, _ []string) error {
		a, err := f.client().History(ctx)
		if err != nil {
			return err
		}
		return printJSON(a)
	})
}

func configApply() *ffcli.Command {
	f := newChangeFlags("apply")
	file := f.fs.String("file", "", "fleet configuration file (required)")
	base := f.fs.Uint64("base", 0, "version that the change starts from")
	wait := f.fs.Duration("wait", 2*time.Second, "how long to wait until all instances have applied it")
	return command("config apply --file FILE --base VERSION --reason TEXT", "replace the configuration", f.fs,
		func(ctx context.Context, _ []string) error {
			cfg, err := settings.LoadFleet(*file)
			if err != nil {
				return err
			}
			a, err := f.client().Apply(ctx, operator.ConfigRequest{
				ChangeID: f.changeID(), Reason: *f.reason, BaseVersion: azurestair.ConfigVersion(*base),
				Config: cfg, WaitMs: azurestair.MillisOf(*wait),
			})
			return finishChange(a, err)
		})
}

// finishChange prints the answer to a change.
func finishChange(a operator.ChangeAnswer, err error) error {
	if a.Code != "" {
		if perr := printJSON(a); perr != nil {
			return perr
		}
	}
	return err
}

func drainCommand(name, help string) *ffcli.Command {
	f := newChangeFlags(name)
	kind := f.fs.String("kind", string(azurestair.TargetUpstream), "upstream, failureDomain or instance")
	target := f.fs.String("name", "", "name of the target (required)")
	usage := fmt.Sprintf("%s --kind KIND --name NAME --reason TEXT", name)
	return command(usage, help, f.fs, func(ctx context.Context, _ []string) error {
		q := operator.DrainRequest{
			ChangeID: f.changeID(), Reason: *f.reason,
			Target: azurestair.Target{Kind: azurestair.TargetKind(*kind), Name: *target},
		}
		call := f.client().Drain
		if name == "undrain" {
			call = f.client().Undrain
		}
		return finishChange(call(ctx, q))
	})
}

func membersCommand() *ffcli.Command {
	f := newChangeFlags("members")
	action := f.fs.String("action", "", "addLearner, promote or remove (required)")
	name := f.fs.String("name", "", "instance (required)")
	return command("members --action ACTION --name INSTANCE --reason TEXT", "change who replicates the log", f.fs,
		func(ctx context.Context, _ []string) error {
			return finishChange(f.client().Members(ctx, operator.MemberRequest{
				ChangeID: f.changeID(), Reason: *f.reason,
				Action: azurestair.MemberAction(*action), Instance: azurestair.InstanceID(*name),
			}))
		})
}

func statusCommand() *ffcli.Command {
	f := newAdminFlags("status")
	return command("status", "print what an instance knows", f.fs, func(ctx context.Context, _ []string) error {
		st, err := f.client().Status(ctx)
		if err != nil {
			return err
		}
		return printJSON(st)
	})
}

func auditCommand() *ffcli.Command {
	f := newAdminFlags("audit")
	who := f.fs.String("operator", "", "only changes of this operator")
	limit := f.fs.Int("limit", control.DefaultAuditLimit, "number of records")
	return command("audit", "list who changed what, when and why", f.fs, func(ctx context.Context, _ []string) error {
		a, err := f.client().Audit(ctx, control.AuditQuery{Operator: azurestair.OperatorName(*who), Limit: *limit})
		if err != nil {
			return err
		}
		return printJSON(a)
	})
}
