package suspect

import (
	"fmt"
	"time"
)

// Settings configure a Table. All sidecars of a pool must use the same values. Start from DefaultSettings.
type Settings struct {
	// ExposureGroup and ExposureFingerprint are the numbers of top-ranked instances, in the rendezvous order
	// of the document group and of the fingerprint, on which a clean request may run. If both are 0 a clean
	// request may run on all instances, and only the size of the pool bounds the engines that it can crash.
	ExposureGroup       int `toml:"exposure_group" min:"0"`
	ExposureFingerprint int `toml:"exposure_fingerprint" min:"0"`
	// RefuseAfter is the number of crashes, at least one of them while running alone, after which a
	// fingerprint is refused.
	RefuseAfter int `toml:"refuse_after" min:"2" max:"4"`
	// RefuseCrowded is the number of crashes after which a fingerprint is refused although other requests
	// were in flight at each of them. With 0, such crashes alone never lead to a refusal.
	RefuseCrowded int `toml:"refuse_crowded" min:"0" max:"8"`
	// Settle must exceed the time in which evidence reaches every sidecar of the pool.
	Settle time.Duration `toml:"settle" min:"0s"`
	// ExcuseAfter is the age of the last crash after which a suspect enters probation.
	ExcuseAfter time.Duration `toml:"excuse_after" min:"1s"`
	// Retention is how long an entry is kept after its last crash or refusal.
	Retention time.Duration `toml:"retention" min:"1m"`
	// MaxEntries is the maximum number of entries in the table.
	MaxEntries int `toml:"max_entries" min:"1"`
}

// maxEvidence is the number of crashes kept for each fingerprint. Validate keeps MaxEngines at or below it,
// so that no evidence is dropped for a request that stays within that bound.
const maxEvidence = 16

// DefaultSettings returns the default settings of a pool.
func DefaultSettings() Settings {
	return Settings{
		ExposureGroup:       2,
		ExposureFingerprint: 4,
		RefuseAfter:         2,
		Settle:              2 * time.Second,
		ExcuseAfter:         5 * time.Minute,
		Retention:           6 * time.Hour,
		MaxEntries:          1024,
	}
}

// Validate returns one error for each violated constraint.
func (s Settings) Validate() []error {
	var errs []error
	if s.RefuseAfter < 2 {
		errs = append(errs, fmt.Errorf("refuse_after is %d, must be at least 2", s.RefuseAfter))
	}
	if s.MaxEngines() > maxEvidence {
		errs = append(errs, fmt.Errorf("exposure_group + exposure_fingerprint is %d, must be at most 13", s.ExposureGroup+s.ExposureFingerprint))
	}
	if s.MaxEntries < 1 {
		errs = append(errs, fmt.Errorf("max_entries is %d, must be positive", s.MaxEntries))
	}
	if s.Retention < s.ExcuseAfter {
		errs = append(errs, fmt.Errorf("retention is %v, must not be less than excuse_after, which is %v", s.Retention, s.ExcuseAfter))
	}
	return errs
}

// MaxEngines returns the number of engines that one request can crash; the package documentation lists the
// events that add to it. It is not a bound when both exposure settings are 0.
func (s Settings) MaxEngines() int {
	// Add 1 for the instance named by a placement token.
	exposed := s.ExposureGroup + s.ExposureFingerprint + 1
	// After the crashes in the exposure set follow one in probation, with other requests in flight, and one
	// alone. There are more only if fewer than RefuseAfter crashes came before.
	return max(exposed+2, s.RefuseAfter)
}

// exposureUnlimited reports whether clean requests may run on all instances.
func (s Settings) exposureUnlimited() bool { return s.ExposureGroup == 0 && s.ExposureFingerprint == 0 }
