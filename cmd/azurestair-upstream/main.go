// Command azurestair-upstream runs one stub upstream for trials.
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

// leaveTimeout bounds the wait for requests in progress at the end.
const leaveTimeout = 30 * time.Second

func run() error {
	var o stub.Options
	id := flag.String("id", "upstream-1", "name of the upstream")
	service := flag.String("service", "catalogue", "service that it belongs to")
	region := flag.String("region", "kigali", "region")
	domain := flag.String("domain", "kigali-a", "failure domain")
	slots := flag.Int("slots", 9, "requests that it works on at once")
	queue := flag.Int("queue", 9, "requests that wait for a slot before it sheds")
	entries := flag.String("entries", "", "comma-separated upstreams' addresses of entries")
	flag.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address")
	flag.StringVar(&o.Token, "token", os.Getenv("AZURESTAIR_UPSTREAM_TOKEN"), "upstream token")
	flag.DurationVar(&o.ServiceTime, "serviceTime", 5*time.Millisecond, "time that a request takes")
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
	leave, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return u.Leave(leave)
}
