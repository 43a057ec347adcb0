package logservice

import (
	"fmt"
	"time"
)

// Outage is how the service fails while it is down.
type Outage string

// Outages.
const (
	// OutageNone is normal service.
	OutageNone Outage = "none"
	// OutageRefuse refuses each request at once; nothing is stored.
	OutageRefuse Outage = "refuse"
	// OutageHang leaves each request without an answer until the outage ends or the caller gives up.
	OutageHang Outage = "hang"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outage) UnmarshalText(text []byte) error {
	switch got := Outage(text); got {
	case "", OutageNone, OutageRefuse, OutageHang:
		*o = got
		return nil
	}
	return fmt.Errorf("%q is not none, refuse or hang", text)
}

// Settings are the limits and faults of a Store. The zero value has none. The keys are those of the
// settings file and of /inspect/settings.
type Settings struct {
	// Outage applies to reads and appends. Empty is OutageNone.
	Outage Outage `toml:"outage"`
	// FaultPrefix limits outage, delays, lost answers and late appends to the streams whose name
	// begins with it.
	FaultPrefix string `toml:"fault_prefix"`
	// AppendDelay and ReadDelay pass before the request takes effect.
	AppendDelay time.Duration `toml:"append_delay" min:"0s"`
	ReadDelay   time.Duration `toml:"read_delay" min:"0s"`
	// LoseAnswers is the number of next appends that are stored but whose answer is lost. Below 0
	// it is all of them.
	LoseAnswers int `toml:"lose_answers"`
	// LateAppends is the number of next appends that fail at once and are stored LateBy later. Below
	// 0 it is all of them.
	LateAppends int           `toml:"late_appends"`
	LateBy      time.Duration `toml:"late_by" min:"0s"`
	// Retention is the age at which records expire. 0 keeps them.
	Retention time.Duration `toml:"retention" min:"0s"`
	// AppendsPerSecond is the rate above which appends are refused. 0 is no limit.
	AppendsPerSecond int `toml:"appends_per_second" min:"0"`
	// MaxRecordBytes is the payload size above which an append is refused. 0 is no limit.
	MaxRecordBytes int `toml:"max_record_bytes" min:"0"`
}

// Counters count requests since the start.
type Counters struct {
	// Appends counts all appends that arrived, Stored those that took effect.
	Appends int64 `json:"appends"`
	Stored  int64 `json:"stored"`
	// Refused counts appends that were refused for an outage, the rate or their size.
	Refused int64 `json:"refused"`
	// AnswersLost and Late count the scripted faults that were applied.
	AnswersLost int64 `json:"answers_lost"`
	Late        int64 `json:"late"`
	// AppendBytes counts the payload bytes of Stored.
	AppendBytes int64 `json:"append_bytes"`
	Reads       int64 `json:"reads"`
	RecordsRead int64 `json:"records_read"`
	Expired     int64 `json:"expired"`
}
