package logservice

import (
	"fmt"
	"time"
)

// Outage says how the service fails during an outage.
type Outage string

// Kinds of outage.
const (
	// OutageNone means normal service.
	OutageNone Outage = "none"
	// OutageRefuse fails every request at once; nothing is stored.
	OutageRefuse Outage = "refuse"
	// OutageHang leaves every request without a response until the outage ends or the caller gives up.
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

// Settings are the limits and the injected faults of a Store. The zero value has neither. The keys are
// those of the settings file and of /inspect/settings.
type Settings struct {
	// Outage applies to reads and appends. Empty means OutageNone.
	Outage Outage `toml:"outage"`
	// FaultPrefix restricts outages, delays, lost responses and late appends to streams whose name starts
	// with it.
	FaultPrefix string `toml:"fault_prefix"`
	// AppendDelay and ReadDelay are the delays before a request takes effect.
	AppendDelay time.Duration `toml:"append_delay" min:"0s"`
	ReadDelay   time.Duration `toml:"read_delay" min:"0s"`
	// LoseResponses is the number of upcoming appends that are stored but whose response is lost. A negative
	// number means all of them.
	LoseResponses int `toml:"lose_answers"`
	// LateAppends is the number of upcoming appends that fail at once and are stored LateBy later. A
	// negative number means all of them.
	LateAppends int           `toml:"late_appends"`
	LateBy      time.Duration `toml:"late_by" min:"0s"`
	// Retention is the age at which records expire. 0 means never.
	Retention time.Duration `toml:"retention" min:"0s"`
	// AppendsPerSecond is the rate limit for appends. 0 means no limit.
	AppendsPerSecond int `toml:"appends_per_second" min:"0"`
	// MaxRecordBytes is the largest payload that is accepted. 0 means no limit.
	MaxRecordBytes int `toml:"max_record_bytes" min:"0"`
}

// Counters are cumulative since the start.
type Counters struct {
	// Appends counts all appends received, Stored those that took effect.
	Appends int64 `json:"appends"`
	Stored  int64 `json:"stored"`
	// Refused counts appends that failed because of an outage, the rate limit or their size, or whose caller gave
	// up before they took effect.
	Refused int64 `json:"refused"`
	// ResponsesLost and Late count the appends whose response was lost, or that were stored late, by an
	// injected fault.
	ResponsesLost int64 `json:"answers_lost"`
	Late          int64 `json:"late"`
	// AppendBytes counts the payload bytes of stored appends.
	AppendBytes int64 `json:"append_bytes"`
	Reads       int64 `json:"reads"`
	RecordsRead int64 `json:"records_read"`
	Expired     int64 `json:"expired"`
}
