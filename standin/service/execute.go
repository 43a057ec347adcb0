package service

import (
	"bytes"
	"net/http"
)

// begin counts a request and returns the settings and the fault that apply to it.
func (s *Service) begin(body []byte) (Settings, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Requests++
	s.concurrent++
	s.counters.MaxConcurrent = max(s.counters.MaxConcurrent, s.concurrent)
	settings := s.settings
	return settings, s.takeFault(body)
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.concurrent--
}

// takeFault uses up one of the scripted faults. The fault ends with the last one.
func (s *Service) takeFault(body []byte) Fault {
	fault := s.settings.Fault
	if fault == "" || fault == FaultNone || !bytes.Contains(body, []byte(s.settings.FaultBody)) {
		return FaultNone
	}
	if s.settings.FaultCount > 0 {
		s.settings.FaultCount--
		if s.settings.FaultCount == 0 {
			s.settings.Fault = FaultNone
		}
	}
	s.countFault(fault)
	return fault
}

func (s *Service) countFault(fault Fault) {
	switch fault {
	case FaultRefuse:
		s.counters.Refused++
	case FaultDropBefore:
		s.counters.DroppedBefore++
	case FaultDropAfter:
		s.counters.DroppedAfter++
	}
}

// execute is the effect of a request.
func (s *Service) execute(settings Settings, r *http.Request, body []byte) Answer {
	header := settings.KeyHeader
	if header == "" {
		header = DefaultKeyHeader
	}
	key := r.Header.Get(header)
	content := Execution{Key: key, Method: r.Method, Path: r.URL.Path, Body: BodyHash(body)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Executions++
	s.byKey[key]++
	done := action{key, r.Method, r.URL.Path}
	s.byAction[done]++
	if key != "" && s.byAction[done] == 2 {
		s.counters.RepeatedActions++
	}
	s.entry(content).Count++
	return Answer{Key: key, Path: content.Path, Body: content.Body, Execution: s.byKey[key]}
}

func (s *Service) entry(content Execution) *Execution {
	entry := s.byContent[content]
	if entry == nil {
		kept := content
		entry = &kept
		s.byContent[content] = entry
		s.executions = append(s.executions, entry)
	}
	return entry
}
