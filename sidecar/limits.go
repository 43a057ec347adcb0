package sidecar

import (
	"context"
	"time"

	"jacinthfork.example/jacinthfork/admission"
	"jacinthfork.example/jacinthfork/config"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/wire"
)

const (
	// limitInterval is how often leases are looked at for renewal.
	limitInterval = 250 * time.Millisecond
	// limitTimeout bounds one report to a home sidecar.
	limitTimeout = time.Second
)

// milli converts requests per second to thousandths.
const milli = 1000

// applyConfig puts the records of this sidecar's pool and of the organisations in force.
func (s *Sidecar) applyConfig(view *config.View) {
	organisations := view.Organisations()
	limits := make(map[string]admission.Quota)
	weights := make(map[string]float64)
	for name, o := range organisations {
		weights[name] = o.Weight
		if o.RequestsPerSecond > 0 || o.TokensInFlight > 0 {
			limits[name] = admission.Quota{
				MilliRequests: uint64(o.RequestsPerSecond * milli), Tokens: uint64(o.TokensInFlight),
			}
		}
	}
	pool, ok := view.Pool(s.settings.Pool, uint32(s.settings.MaxPoolSchema))
	if ok {
		for name, weight := range pool.OrganisationWeights {
			weights[name] = weight
		}
		s.admission.SetBound(uint64(pool.LoadBound*percent), time.Duration(pool.QueueSeconds*float64(time.Second)))
	}
	s.admission.SetWeights(weights)
	s.limiter.SetLimits(limits)
	s.home.SetLimits(limits)
	s.journal.Add(journal.KindConfig, s.settings.Pool, "configuration applied")
}

// followLimits reports the demand of organisations near their limit to their home sidecars.
func (s *Sidecar) followLimits(ctx context.Context) {
	tick := time.NewTicker(limitInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.limiter.Notify():
		}
		s.reportLimits(ctx, s.limiter.Due())
	}
}

// reportLimits sends each home sidecar the reports on its organisations.
func (s *Sidecar) reportLimits(ctx context.Context, due []admission.LimitReport) {
	byHome := make(map[string][]admission.LimitReport)
	for _, report := range due {
		home := admission.HomeOf(report.Organisation, *s.members.Load())
		byHome[home] = append(byHome[home], report)
	}
	for home, reports := range byHome {
		if home == s.settings.Instance {
			s.answerOwn(reports)
			continue
		}
		if err := s.reportTo(ctx, home, reports); err != nil {
			s.kernel.Counters.Int("limit_report_failures").Add(1)
		}
	}
}

func (s *Sidecar) answerOwn(reports []admission.LimitReport) {
	for _, report := range reports {
		if lease, ok := s.home.Handle(report); ok {
			s.limiter.Apply(lease)
		}
	}
}

// reportTo opens a connection for one report. Reports are rare, so none is kept open.
func (s *Sidecar) reportTo(ctx context.Context, home string, reports []admission.LimitReport) error {
	member, ok := s.view.Pool(s.settings.Pool).Find(home)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	conn, err := s.dial(member.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	message := &wire.LimitReports{Instance: s.settings.Instance}
	for _, r := range reports {
		message.Reports = append(message.Reports, &wire.LimitReport{
			Organisation: r.Organisation, Demand: toQuota(r.Demand), Held: toQuota(r.Held), HeldForMs: r.HeldFor.Milliseconds(),
		})
	}
	leases, err := wire.NewSidecarClient(conn).ReportLimits(ctx, message)
	if err != nil {
		return err
	}
	for _, l := range leases.GetLeases() {
		s.limiter.Apply(admission.LimitLease{
			Organisation: l.GetOrganisation(), Allowed: fromQuota(l.GetAllowed()),
			ValidFor:   time.Duration(l.GetValidForMs()) * time.Millisecond,
			RenewAfter: time.Duration(l.GetRenewAfterMs()) * time.Millisecond,
		})
	}
	return nil
}

// ReportLimits implements wire.SidecarServer.
func (s *Sidecar) ReportLimits(_ context.Context, message *wire.LimitReports) (*wire.LimitLeases, error) {
	out := &wire.LimitLeases{}
	for _, r := range message.GetReports() {
		lease, ok := s.home.Handle(admission.LimitReport{
			Organisation: r.GetOrganisation(), Instance: message.GetInstance(),
			Demand: fromQuota(r.GetDemand()), Held: fromQuota(r.GetHeld()),
			HeldFor: time.Duration(r.GetHeldForMs()) * time.Millisecond,
		})
		if ok {
			out.Leases = append(out.Leases, &wire.LimitLease{
				Organisation: lease.Organisation, Allowed: toQuota(lease.Allowed),
				ValidForMs: lease.ValidFor.Milliseconds(), RenewAfterMs: lease.RenewAfter.Milliseconds(),
			})
		}
	}
	return out, nil
}

func toQuota(q admission.Quota) *wire.Quota {
	return &wire.Quota{MilliRequests: q.MilliRequests, Tokens: q.Tokens}
}

func fromQuota(q *wire.Quota) admission.Quota {
	return admission.Quota{MilliRequests: q.GetMilliRequests(), Tokens: q.GetTokens()}
}
