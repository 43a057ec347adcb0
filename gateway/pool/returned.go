package pool

import "time"

// ReturnObservation gives back what TakeObservation returned at a time, because the keeper was not told. It is told with what was
// observed since.
func (r *Registry) ReturnObservation(instance Key, o Observation, taken time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Responses > 0 {
		o.Age += max(0, r.now().Sub(taken))
	}
	for _, m := range r.byKey[instance] {
		if m.keeper != "" {
			m.engine.pending.merge(o)
		}
	}
}

// merge adds earlier observations.
func (o *Observation) merge(earlier Observation) {
	if o.Pace == 0 {
		o.Pace = earlier.Pace
	}
	n := min(earlier.Responses, maxObserved-o.Responses)
	if n <= 0 {
		return
	}
	own, others := float64(o.Responses), float64(n)
	o.Ratio = (o.Ratio*own + earlier.Ratio*others) / (own + others)
	o.Age = time.Duration((float64(o.Age)*own + float64(earlier.Age)*others) / (own + others))
	o.Responses += n
}
