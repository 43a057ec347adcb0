package admission

import (
	"fmt"
	"math"
)

// Organisation is the part of a configuration object of kind "organisation" that admission uses.
// A limit of 0 means unlimited; a weight of 0 means 1.
type Organisation struct {
	Weight            float64 `json:"weight,omitempty"`
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensInFlight    uint64  `json:"tokens_in_flight,omitempty"`
}

// maxRequestsPerSecond keeps a rate in thousandths, and sums of such rates, within an int64.
const maxRequestsPerSecond = 1e12

// Validate returns an error for a value that is negative, not finite or too large.
func (o Organisation) Validate() error {
	if !(o.Weight >= 0) || math.IsInf(o.Weight, 0) {
		return fmt.Errorf("weight is %v, must be a finite number that is not negative", o.Weight)
	}
	if !(o.RequestsPerSecond >= 0 && o.RequestsPerSecond <= maxRequestsPerSecond) {
		return fmt.Errorf("requests_per_second is %v, must be from 0 to 1e12", o.RequestsPerSecond)
	}
	if o.TokensInFlight > maxTokens {
		return fmt.Errorf("tokens_in_flight is %d, must be at most 2^40", o.TokensInFlight)
	}
	return nil
}

// Quota returns the limits of the organisation. A rate above 0 is rounded up to at least a thousandth of a
// request per second.
func (o Organisation) Quota() Quota {
	rate := uint64(math.Round(o.RequestsPerSecond * milliPerRequest))
	if o.RequestsPerSecond > 0 {
		rate = max(1, rate)
	}
	return Quota{MilliRequests: rate, Tokens: o.TokensInFlight}
}

// Weights returns the weights for Controller.SetWeights.
func Weights(organisations map[string]Organisation) map[string]float64 {
	weights := make(map[string]float64, len(organisations))
	for name, o := range organisations {
		if o.Weight > 0 {
			weights[name] = o.Weight
		}
	}
	return weights
}

// Limits returns the limits for Limiter.SetLimits and LimitCoordinator.SetLimits.
func Limits(organisations map[string]Organisation) map[string]Quota {
	limits := make(map[string]Quota)
	for name, o := range organisations {
		if q := o.Quota(); q != (Quota{}) {
			limits[name] = q
		}
	}
	return limits
}
