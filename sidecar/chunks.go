package sidecar

import (
	"errors"

	"google.golang.org/grpc"
	"jacinthfork.example/jacinthfork/claim"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// chunkWriter sends the chunks of one attempt, in numbered order.
type chunkWriter struct {
	stream       grpc.ServerStreamingServer[wire.Chunk]
	attempt      *wire.AttemptID
	nextSequence uint64
	loadReport   func() *wire.Load
}

func (w *chunkWriter) send(chunk *wire.Chunk) error {
	chunk.Attempt = w.attempt
	chunk.Sequence = w.nextSequence
	w.nextSequence++
	return w.stream.Send(chunk)
}

func (w *chunkWriter) sendAdmitted(replayed bool) error {
	return w.send(&wire.Chunk{Kind: &wire.Chunk_Admitted{Admitted: &wire.Admitted{Load: w.loadReport(), Replayed: replayed}}})
}

func (w *chunkWriter) sendPart(part responsePart) error {
	switch {
	case part.head != nil:
		return w.send(&wire.Chunk{Kind: &wire.Chunk_Head{Head: part.head}})
	case part.data != nil:
		return w.send(&wire.Chunk{Kind: &wire.Chunk_Data{Data: part.data}})
	}
	end := &wire.End{
		Chunks: part.end.GetChunks(), Bytes: part.end.GetBytes(), Checksum: part.end.GetChecksum(),
		CachedTokens: part.end.GetCachedTokens(), CompletionTokens: part.end.GetCompletionTokens(), Load: w.loadReport(),
	}
	return w.send(&wire.Chunk{Kind: &wire.Chunk_End{End: end}})
}

// sendFailure sends an error with a verdict as the last chunk. It returns other errors, for gRPC to report.
func (w *chunkWriter) sendFailure(err error) error {
	if err == nil || lacksVerdict(err) {
		return err
	}
	e := verdict.As(err)
	askInstance := ""
	var redirect *redirectError
	if errors.As(err, &redirect) {
		askInstance = redirect.instance
	}
	var held *claim.HeldError
	if errors.As(err, &held) {
		askInstance = held.Instance
	}
	return w.send(&wire.Chunk{Kind: &wire.Chunk_Failure{Failure: &wire.Failure{
		Verdict: wire.FromVerdict(e.Verdict), Reason: string(e.Reason), Detail: e.Detail,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Load: w.loadReport(), AskInstance: askInstance,
	}}})
}
