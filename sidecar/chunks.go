package sidecar

import (
	"errors"

	"google.golang.org/grpc"
	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// chunkWriter numbers the chunks of one attempt.
type chunkWriter struct {
	stream  grpc.ServerStreamingServer[wire.Chunk]
	attempt *wire.AttemptID
	next    uint64
	load    func() *wire.Load
}

func (w *chunkWriter) send(chunk *wire.Chunk) error {
	chunk.Attempt = w.attempt
	chunk.Sequence = w.next
	w.next++
	return w.stream.Send(chunk)
}

func (w *chunkWriter) admitted(replayed bool) error {
	return w.send(&wire.Chunk{Kind: &wire.Chunk_Admitted{Admitted: &wire.Admitted{Load: w.load(), Replayed: replayed}}})
}

func (w *chunkWriter) step(s step) error {
	switch {
	case s.head != nil:
		return w.send(&wire.Chunk{Kind: &wire.Chunk_Head{Head: s.head}})
	case s.data != nil:
		return w.send(&wire.Chunk{Kind: &wire.Chunk_Data{Data: s.data}})
	}
	end := &wire.End{
		Chunks: s.end.GetChunks(), Bytes: s.end.GetBytes(), Checksum: s.end.GetChecksum(),
		CachedTokens: s.end.GetCachedTokens(), CompletionTokens: s.end.GetCompletionTokens(), Load: w.load(),
	}
	return w.send(&wire.Chunk{Kind: &wire.Chunk_End{End: end}})
}

// outcome sends a verdict error as the last chunk. Other errors go back to gRPC.
func (w *chunkWriter) outcome(err error) error {
	if err == nil || isConnectionError(err) {
		return err
	}
	e := verdict.As(err)
	ask := ""
	var other *askError
	if errors.As(err, &other) {
		ask = other.instance
	}
	var held *claim.HeldError
	if errors.As(err, &held) {
		ask = held.Instance
	}
	return w.send(&wire.Chunk{Kind: &wire.Chunk_Failure{Failure: &wire.Failure{
		Verdict: wire.FromVerdict(e.Verdict), Reason: string(e.Reason), Detail: e.Detail,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Load: w.load(), AskInstance: ask,
	}}})
}
