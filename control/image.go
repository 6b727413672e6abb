package control

import (
	"cmp"
	"fmt"
	"slices"

	"azurestair.example/azurestair"
)

// ledgerPageSize bounds the records in one page of an image. Codecs limit the
// length of an array, often to about 100,000 elements, which is fewer than
// MaxClaims.
const ledgerPageSize = 8192

// Image is the complete state in the form that log snapshots store. It shares
// immutable memory with the state that it was taken from.
type Image struct {
	Applied azurestair.Index `cbor:"1,keyasint" json:"applied"`
	// History holds the versions of the configuration, the current one last.
	History []ConfigRecord           `cbor:"2,keyasint,omitempty" json:"history,omitempty"`
	Drains  []azurestair.Drain       `cbor:"3,keyasint,omitempty" json:"drains,omitempty"`
	Changes []ChangeRecord           `cbor:"4,keyasint,omitempty" json:"changes,omitempty"`
	Audit   []azurestair.AuditRecord `cbor:"5,keyasint,omitempty" json:"audit,omitempty"`
	// Ledger holds the records of the ledger in pages.
	Ledger [][]*LedgerRecord `cbor:"6,keyasint,omitempty" json:"ledger,omitempty"`
	// LastAnswerSeq is the highest sequence number of a stored answer so far.
	LastAnswerSeq uint64 `cbor:"7,keyasint,omitempty" json:"lastKept,omitempty"`
	// Holders is nil if the state has no holder list.
	Holders *HolderList `cbor:"8,keyasint,omitempty" json:"holders,omitempty"`
	// Departures are in log order.
	Departures []azurestair.Departure `cbor:"9,keyasint,omitempty" json:"departures,omitempty"`
	// Listed holds the upstreams of the last listing, sorted by id.
	Listed []azurestair.Announcement `cbor:"10,keyasint,omitempty" json:"listed,omitempty"`
	Fleet  azurestair.FleetID        `cbor:"11,keyasint,omitempty" json:"fleet,omitempty"`
	// RequiredVersion is the highest protocol version that a log entry before
	// the image requires. It is omitted if that is ProtocolUnannounced.
	RequiredVersion azurestair.ProtocolVersion `cbor:"16,keyasint,omitempty" json:"needs,omitempty"`
}

// Image returns the state. It copies only references, and the result may be
// encoded on another goroutine.
func (s *State) Image() Image {
	records := make([]*LedgerRecord, len(s.ledger.expiry.nodes))
	for i, n := range s.ledger.expiry.nodes {
		records[i] = n.record
	}
	return Image{
		Applied:         s.applied,
		History:         s.History(),
		Drains:          s.drains,
		Changes:         s.changes.order.view(),
		Audit:           s.audit.view(),
		Ledger:          slices.Collect(slices.Chunk(records, ledgerPageSize)),
		LastAnswerSeq:   s.ledger.answers.lastSeq,
		Holders:         s.holders,
		RequiredVersion: s.requiredVersion,

		Departures: s.departures.order.view(),
		Listed:     s.ListedUpstreams(),
		Fleet:      s.fleet,
	}
}

// FromImage returns the state that an image holds. The state retains the memory
// of the image.
func FromImage(i Image) (*State, error) {
	if err := i.Validate(); err != nil {
		return nil, err
	}
	s := &State{applied: i.Applied, drains: i.Drains, holders: i.Holders, requiredVersion: i.RequiredVersion, fleet: i.Fleet}
	// An earlier program may have kept more versions.
	s.history = newestVersions(i.History)
	s.audit.items = slices.Clip(i.Audit)
	for _, r := range i.Changes {
		s.changes.add(r)
	}
	for _, d := range i.Departures {
		s.departures.add(d)
	}
	if len(i.Listed) > 0 {
		s.applyListing(azurestair.UpstreamListChange{Listed: i.Listed})
	}
	s.ledger.restore(slices.Concat(i.Ledger...), i.LastAnswerSeq)
	return s, nil
}

// restore adds the records in image order. That is heap order, so the heap is
// valid without reordering.
func (l *ledger) restore(records []*LedgerRecord, lastAnswerSeq uint64) {
	l.byKey = make(map[claimKey]*expiryNode, len(records))
	var answered []*expiryNode
	for _, r := range records {
		n := l.add(r)
		if r.AnswerSeq != 0 {
			answered = append(answered, n)
		}
	}
	slices.SortFunc(answered, func(a, b *expiryNode) int {
		return cmp.Compare(a.record.AnswerSeq, b.record.AnswerSeq)
	})
	for _, n := range answered {
		l.answers.add(n)
	}
	l.answers.lastSeq = lastAnswerSeq
}

// Validate checks the image.
func (i Image) Validate() error {
	if len(i.History) > MaxHistory || len(i.Drains) > MaxDrains || len(i.Changes) > MaxChanges ||
		len(i.Audit) > MaxAudit || len(i.Departures) > MaxDepartures || len(i.Listed) > DefaultMaxUpstreams {
		return fmt.Errorf("%w: image exceeds a limit of the state", azurestair.ErrInvalid)
	}
	if err := i.validateHistory(); err != nil {
		return err
	}
	if err := i.validateDrains(); err != nil {
		return err
	}
	if err := i.validateChanges(); err != nil {
		return err
	}
	if err := i.Holders.Validate(); err != nil {
		return err
	}
	if err := i.Fleet.Validate(); err != nil {
		return err
	}
	return i.validateLedger()
}

func (i Image) validateHistory() error {
	for n, r := range i.History {
		if err := r.Validate(); err != nil {
			return err
		}
		// Operators may choose versions with gaps.
		if r.Config.Version == 0 || (n > 0 && r.Config.Version <= i.History[n-1].Config.Version) {
			return fmt.Errorf("%w: image: configuration version %d is out of order", azurestair.ErrInvalid, r.Config.Version)
		}
	}
	return nil
}

func (i Image) validateDrains() error {
	for n, d := range i.Drains {
		if err := d.Target.Validate(); err != nil {
			return err
		}
		if n > 0 && compareDrain(i.Drains[n-1], d.Target) >= 0 {
			return fmt.Errorf("%w: image: drain of %s is out of order", azurestair.ErrInvalid, d.Target.Name)
		}
	}
	return nil
}

func (i Image) validateChanges() error {
	seen := make(map[changeKey]bool, len(i.Changes))
	for _, r := range i.Changes {
		if err := r.Validate(); err != nil {
			return err
		}
		if seen[changeKey{r.Operator, r.ID}] {
			return fmt.Errorf("%w: image: change %s is listed twice", azurestair.ErrInvalid, r.ID)
		}
		seen[changeKey{r.Operator, r.ID}] = true
	}
	return nil
}

func (i Image) validateLedger() error {
	records := slices.Concat(i.Ledger...)
	if len(records) > MaxClaims {
		return fmt.Errorf("%w: image holds %d ledger records; allowed %d", azurestair.ErrInvalid, len(records), MaxClaims)
	}
	seen := make(map[claimKey]bool, len(records))
	seenAnswers := map[uint64]bool{}
	for _, r := range records {
		if r == nil {
			return fmt.Errorf("%w: image: ledger record is missing", azurestair.ErrInvalid)
		}
		if err := r.Validate(); err != nil {
			return err
		}
		if seen[r.key()] {
			return fmt.Errorf("%w: image: key %s is listed twice", azurestair.ErrInvalid, r.Key)
		}
		seen[r.key()] = true
		if r.AnswerSeq > i.LastAnswerSeq || (r.AnswerSeq != 0 && seenAnswers[r.AnswerSeq]) {
			return fmt.Errorf("%w: image: stored answer %d is out of order", azurestair.ErrInvalid, r.AnswerSeq)
		}
		seenAnswers[r.AnswerSeq] = true
	}
	return nil
}
