package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"jacinthfork.example/jacinthfork/placement"
)

// fingerprintChat hashes what a chat completion asks, without ids and other fields that its caller
// may change when it sends the same request again.
func fingerprintChat(organisation, model string, messages []placement.Message) uint64 {
	digest := xxhash.New()
	addField(digest, organisation)
	addField(digest, model)
	for _, message := range messages {
		addField(digest, message.Role)
		for _, part := range message.Parts {
			addField(digest, part)
		}
	}
	return digest.Sum64()
}

// fingerprintBody hashes a plain call.
func fingerprintBody(organisation, target string, body []byte) uint64 {
	digest := xxhash.New()
	addField(digest, organisation)
	addField(digest, target)
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// addField hashes a field with its length, so that no two lists of fields have the same input.
func addField(digest *xxhash.Digest, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(text)
}
