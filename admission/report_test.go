package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

// An engine report must be compared with the counted work in flight at the time of its measurement and lose
// weight with age. It must never replace the counted work or loosen the load bound.
func TestEngineReportCorrectsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, nil, &fixedPool{others: 500, members: 2}, nil)
		_, err := c.Admit(context.Background(), decodeRequest("a", 100))
		is.NoErr(err)
		time.Sleep(time.Second)
		late, err := c.Admit(context.Background(), decodeRequest("a", 200))
		is.NoErr(err)
		c.Report(100, time.Second) // matches the count at that time, before the second request
		is.Equal(c.Load().Corrected, uint64(300))
		c.Report(0, 0)
		is.Equal(c.Load().Work, uint64(300))
		is.Equal(c.Load().Corrected, uint64(150)) // half the weight of a fresh report
		time.Sleep(DefaultSettings().ReportMaxAge)
		is.Equal(c.Load().Corrected, uint64(300))
		_, err = c.Admit(context.Background(), decodeRequest("a", 400))
		is.NoErr(err) // 700 of at most 750
		late.Done()
		c.Report(1000, 0)
		is.Equal(c.Load().Corrected, uint64(750)) // compared with the count after Done, which was recorded at the same instant
		_, err = c.Admit(context.Background(), decodeRequest("a", 200))
		is.Equal(verdict.As(err).Reason, verdict.ReasonOverBound) // 700 counted, 950 with the report, of at most 750
		c.Report(0, 0)
		_, err = c.Admit(context.Background(), decodeRequest("a", 200))
		is.NoErr(err)
	})
}
