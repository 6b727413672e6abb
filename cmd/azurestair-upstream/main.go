// Command azurestair-upstream runs one stub upstream for experiments.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/stub"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "azurestair-upstream:", err)
		os.Exit(1)
	}
}

// shutdownTimeout limits how long shutdown waits for requests in progress.
const shutdownTimeout = 30 * time.Second

func run() error {
	var o stub.Options
	id := flag.String("id", "upstream-1", "name of the upstream")
	service := flag.String("service", "catalogue", "service of the upstream")
	region := flag.String("region", "kigali", "region")
	domain := flag.String("domain", "kigali-a", "failure domain")
	slots := flag.Int("slots", 9, "number of requests that it runs concurrently")
	queue := flag.Int("queue", 9, "number of requests that may wait for a slot; more are shed")
	entries := flag.String("entries", "", "comma-separated listen.upstreams addresses of entries")
	flag.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address")
	flag.StringVar(&o.Token, "token", os.Getenv("AZURESTAIR_UPSTREAM_TOKEN"), "upstream token")
	flag.DurationVar(&o.ServiceTime, "serviceTime", 5*time.Millisecond, "duration of a request")
	flag.Parse()
	o.ID, o.Service = azurestair.UpstreamID(*id), azurestair.ServiceName(*service)
	o.Region, o.FailureDomain = azurestair.RegionName(*region), azurestair.FailureDomainName(*domain)
	o.Slots, o.QueueLimit = azurestair.Slots(*slots), azurestair.Slots(*queue)
	o.Entries = strings.Split(*entries, ",")
	u, err := stub.Start(o)
	if err != nil {
		return err
	}
	fmt.Println("listening on", u.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return u.Shutdown(shutdownCtx)
}
