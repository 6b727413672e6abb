package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"azurestair.example/azurestair/model"
)

func modelCommand() *ffcli.Command {
	fs := flag.NewFlagSet("model", flag.ContinueOnError)
	copies := fs.Int("copies", 0, "number of upstreams that share an object; 0 means the default")
	reach := fs.Int("reach", 0, "number of further upstreams that take requests beyond the capacity of the copies; 0 means the default")
	seed := fs.Uint64("seed", 1, "random seed")
	return newCommand("model [--copies N] [--reach N] [--seed N]", "simulate load patterns on a model of the placement and print a table", fs,
		func(context.Context) error {
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintln(w, "pattern\tcredit\tworst 2 s\tin target\tlate\trefused\twarm")
			for _, s := range model.Patterns() {
				s.Copies, s.Reach, s.Seed = *copies, *reach, *seed
				r := s.Run()
				t := r.Total()
				_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%d\t%d\t%d\t%.2f\n", s.Pattern, t.Score(), r.LowestScore(), t.WithinTarget, t.Late, t.Refused, r.WarmShare)
			}
			return w.Flush()
		})
}
