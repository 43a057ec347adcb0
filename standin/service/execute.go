package service

import (
	"bytes"
	"net/http"
)

// beginRequest counts a request and returns the settings and the fault that apply to it.
func (s *Service) beginRequest(body []byte) (Settings, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Requests++
	s.inFlight++
	s.counters.MaxConcurrent = max(s.counters.MaxConcurrent, s.inFlight)
	settings := s.settings
	return settings, s.nextFault(body)
}

func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// nextFault returns the fault for a request and decrements FaultCount. After the last one, Fault is reset
// to FaultNone. The caller holds mu.
func (s *Service) nextFault(body []byte) Fault {
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

// execute records the execution of a request and returns the response.
func (s *Service) execute(settings Settings, r *http.Request, body []byte) Response {
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
	performed := action{key, r.Method, r.URL.Path}
	s.byAction[performed]++
	if key != "" && s.byAction[performed] == 2 {
		s.counters.RepeatedActions++
	}
	s.executionEntry(content).Count++
	return Response{Key: key, Path: content.Path, Body: content.Body, Execution: s.byKey[key]}
}

// executionEntry returns the entry for a request and creates it if needed. The caller holds mu.
func (s *Service) executionEntry(content Execution) *Execution {
	entry := s.byContent[content]
	if entry == nil {
		kept := content
		entry = &kept
		s.byContent[content] = entry
		s.executions = append(s.executions, entry)
	}
	return entry
}
