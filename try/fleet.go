package try

import (
	"azurestair.example/azurestair"
)

// Services and regions of the embedded fleet.
const (
	serviceCatalogue azurestair.ServiceName = "catalogue"
	servicePayment   azurestair.ServiceName = "payment"
	regionKigali     azurestair.RegionName  = "kigali"
	regionHuye       azurestair.RegionName  = "huye"
)

// fleet returns the configuration of the embedded fleet.
func fleet() azurestair.Config {
	return azurestair.Config{
		Defaults: azurestair.Defaults{LookupTTLMs: 200, ShiftIntervalMs: 500, LookupMovePercent: 100, SlowStartMs: 200},
		Services: []azurestair.Service{
			{Name: serviceCatalogue, Operations: []azurestair.Operation{
				{Name: "browse", Rank: azurestair.RankInteractive, Idempotent: true, TimeoutMs: 1_000},
				{Name: "engrave", Rank: azurestair.RankDeferred, TimeoutMs: 10_000},
			}},
			{Name: servicePayment, Operations: []azurestair.Operation{
				{Name: "pay", Rank: azurestair.RankUrgent, TimeoutMs: 2_000},
			}},
		},
		Regions: []azurestair.Region{
			{Name: regionKigali, FailureDomains: []azurestair.FailureDomainName{"kigali-a", "kigali-b"}},
			{Name: regionHuye, FailureDomains: []azurestair.FailureDomainName{"huye-a"}},
		},
		Links: []azurestair.Link{
			{From: regionKigali, To: regionHuye, Limit: 500_000_000},
			{From: regionHuye, To: regionKigali, Limit: 500_000_000},
		},
	}
}
