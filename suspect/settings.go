package suspect

import (
	"errors"
	"time"
)

// Settings of a Table. All sidecars of a pool must use the same values. Start from DefaultSettings.
type Settings struct {
	// ExposureGroup and ExposureFingerprint are the places in the rendezvous order of the document
	// group and of the fingerprint at which a clean request may run. Both 0 allow all instances;
	// MaxEngines then has no bound but the size of the pool.
	ExposureGroup       int `toml:"exposure_group" min:"0"`
	ExposureFingerprint int `toml:"exposure_fingerprint" min:"0"`
	// RefuseAfter is the number of crashes, at least one of them alone, after which a fingerprint
	// is refused.
	RefuseAfter int `toml:"refuse_after" min:"2" max:"4"`
	// RefuseCrowded is the number of crashes after which a fingerprint is refused although other
	// requests ran beside it each time. 0 never refuses for these alone. A router that sends work to
	// backend servers directly needs it, because it cannot run a request with nothing beside it.
	RefuseCrowded int `toml:"refuse_crowded" min:"0" max:"8"`
	// Settle is longer than news takes to reach every sidecar of the pool.
	Settle time.Duration `toml:"settle" min:"0s"`
	// ExcuseAfter is the age of the last crash after which a suspect enters probation.
	ExcuseAfter time.Duration `toml:"excuse_after" min:"1s"`
	// Retention is how long entries are kept after the last crash or refusal.
	Retention time.Duration `toml:"retention" min:"1m"`
	// MaxEntries bounds the table.
	MaxEntries int `toml:"max_entries" min:"1"`
}

// maxEvidence is the number of crashes kept for one fingerprint. It is above MaxEngines, so that
// no evidence of a request that stays within the bound is dropped.
const maxEvidence = 16

// DefaultSettings returns the settings for a pool.
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

// Validate returns one error for each broken rule.
func (s Settings) Validate() []error {
	var errs []error
	if s.RefuseAfter < 2 {
		errs = append(errs, errors.New("refuse_after must be at least 2"))
	}
	if s.MaxEngines() > maxEvidence {
		errs = append(errs, errors.New("exposure_group + exposure_fingerprint must be at most 13"))
	}
	if s.MaxEntries < 1 {
		errs = append(errs, errors.New("max_entries must be positive"))
	}
	if s.Retention < s.ExcuseAfter {
		errs = append(errs, errors.New("retention must not be less than excuse_after"))
	}
	return errs
}

// MaxEngines returns the number of engines that one request can crash; see the package
// documentation for what can add to it. It is no bound when both exposures are 0.
func (s Settings) MaxEngines() int {
	// 1 for the instance named by a placement token.
	exposed := s.ExposureGroup + s.ExposureFingerprint + 1
	// One crash beside others in probation and one alone. More follow only when fewer crashes than
	// RefuseAfter came before.
	return max(exposed+2, s.RefuseAfter)
}

// exposureOff reports whether clean requests may run everywhere.
func (s Settings) exposureOff() bool { return s.ExposureGroup == 0 && s.ExposureFingerprint == 0 }
