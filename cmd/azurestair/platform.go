package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"azurestair.example/azurestair/platform"
	"azurestair.example/azurestair/stdout"
)

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	return newCommand("platform", "run an instance with the settings file that the platform provides, until SIGTERM", fs,
		func(ctx context.Context) error {
			b, err := platform.LoadBoot()
			if err != nil {
				return err
			}
			logs := stdout.New(os.Stdout)
			defer logs.Close()
			app, err := platform.New(ctx, b, logs)
			if err != nil {
				return err
			}
			return serve(ctx, app)
		})
}
