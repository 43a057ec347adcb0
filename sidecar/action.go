package sidecar

import (
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// action runs a non-idempotent action at most once.
func (s *Sidecar) action(*wire.ExecuteRequest, *chunkWriter) error {
	return s.refuse(verdict.New(verdict.NotRun, verdict.ReasonLogUnavailable, "at-most-once execution is not available"))
}
