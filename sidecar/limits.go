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
	// limitReportInterval is the interval between checks for reports that are due; see
	// admission.Limiter.TakeDueReports.
	limitReportInterval = 250 * time.Millisecond
	// limitReportTimeout bounds one ReportLimits call to a coordinator.
	limitReportTimeout = time.Second
)

// milliPerUnit converts requests per second to thousandths of a request per second.
const milliPerUnit = 1000

// applyConfig applies the configuration records of this sidecar's pool and of all organisations.
func (s *Sidecar) applyConfig(view *config.View) {
	organisations := view.Organisations()
	limits := make(map[string]admission.Quota)
	weights := make(map[string]float64)
	for name, o := range organisations {
		weights[name] = o.Weight
		if o.RequestsPerSecond > 0 || o.TokensInFlight > 0 {
			limits[name] = admission.Quota{
				MilliRequests: uint64(o.RequestsPerSecond * milliPerUnit), Tokens: uint64(o.TokensInFlight),
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
	s.coordinator.SetLimits(limits)
	s.journal.Add(journal.KindConfig, s.settings.Pool, "configuration applied")
}

// runLimitReports sends the limit reports that are due, periodically and when the limiter signals that one is. Each
// goes to the coordinator of the organisation, the sidecar that leases out shares of the organisation's limit.
func (s *Sidecar) runLimitReports(ctx context.Context) {
	ticker := time.NewTicker(limitReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.limiter.Notify():
		}
		s.sendLimitReports(ctx, s.limiter.TakeDueReports())
	}
}

// sendLimitReports sends each coordinator the reports about its organisations.
func (s *Sidecar) sendLimitReports(ctx context.Context, due []admission.LimitReport) {
	byCoordinator := make(map[string][]admission.LimitReport)
	for _, report := range due {
		coordinator := admission.CoordinatorOf(report.Organisation, *s.members.Load())
		byCoordinator[coordinator] = append(byCoordinator[coordinator], report)
	}
	for coordinator, reports := range byCoordinator {
		if coordinator == s.settings.Instance {
			s.handleOwnReports(reports)
			continue
		}
		if err := s.sendReports(ctx, coordinator, reports); err != nil {
			s.kernel.Counters.Int("limit_report_failures").Add(1)
		}
	}
}

// handleOwnReports handles the reports for which this sidecar is the coordinator.
func (s *Sidecar) handleOwnReports(reports []admission.LimitReport) {
	for _, report := range reports {
		if lease, ok := s.coordinator.Handle(report); ok {
			s.limiter.Apply(lease)
		}
	}
}

// sendReports sends reports to a coordinator and applies the leases in the reply. It uses a new connection, because
// reports are rare. Reports to a coordinator that is not in the pool's view are dropped without an error.
func (s *Sidecar) sendReports(ctx context.Context, coordinator string, reports []admission.LimitReport) error {
	member, ok := s.view.Pool(s.settings.Pool).Find(coordinator)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limitReportTimeout)
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
		lease, ok := s.coordinator.Handle(admission.LimitReport{
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
