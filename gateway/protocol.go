package gateway

import (
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
)

// Call is what a caller's request says of itself.
type Call struct {
	// ID is the caller's ID of this attempt.
	ID string
	// Key authenticates the caller. It is never passed on.
	Key string
	// TimeLimit is how long the caller waits. 0 is not said.
	TimeLimit time.Duration
	// Prompt is the prompt in parts that other requests share, PromptTokens its length.
	Prompt       []pool.Part
	PromptTokens int
	// OutputTokens is the largest number of tokens of the answer.
	OutputTokens int
	// LastEvent is the last event that the caller has of a stream that it resumes.
	LastEvent string
}

// Forwarding is what a router adds to a request that it sends on.
type Forwarding struct {
	// Instance is the backend server that is meant; any other one must refuse.
	Instance string
	// Organisation is the owner of the caller's key, or empty.
	Organisation string
	// TimeLeft is how long the answer is waited for. 0 is not said.
	TimeLeft time.Duration
	// Priority orders requests in a model engine, 0 first. It is set for engines only.
	Priority    int
	HasPriority bool
	// LastEvent is the last event that was forwarded, when a stream goes on.
	LastEvent string
	// FetchFrom is the address of an engine from which the prompt's memory is fetched, or empty.
	FetchFrom string
}

// Reply is what the header of a backend server's answer says.
type Reply struct {
	// RequestID is the request that the answer belongs to, or empty.
	RequestID string
	// Signed is set when the answer carries the backend server's signature.
	Signed bool
	// NotRun is set when the backend server states that it did not run the request.
	NotRun bool
	// Misdirected is set when another backend server has the address.
	Misdirected bool
}

// Protocol translates between header fields and the types of this package. Implementations are safe
// for concurrent use.
type Protocol interface {
	// ReadCall reads a caller's request. An error makes the request invalid.
	ReadCall(r *http.Request) (Call, error)
	// WriteForward removes from h what callers may not set and adds f.
	WriteForward(h http.Header, f Forwarding)
	// ReadReply reads the header of an answer.
	ReadReply(resp *http.Response) Reply
	// WriteAnswer marks an answer of the router's own as belonging to a call.
	WriteAnswer(h http.Header, call *Call)
}

// Decoder decodes records of the feeds.
type Decoder interface {
	// Configuration decodes a configuration. ok is false for a record that is something else.
	Configuration(key string, value []byte) (table *routes.Table, ok bool, err error)
	// Instance decodes the publication of an instance.
	Instance(key string, value []byte) (pool.Instance, error)
}

// hopByHop are the header fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of a header without the fields that concern one connection.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, field := range h.Values("Connection") {
		for name := range listed(field) {
			out.Del(name)
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
