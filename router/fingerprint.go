package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"jacinthfork.example/jacinthfork/placement"
)

// fingerprintChat hashes the content of a chat completion. It leaves out IDs and other fields that a
// caller may change when it repeats the request.
func fingerprintChat(organisation, model string, messages []placement.Message) uint64 {
	digest := xxhash.New()
	hashField(digest, organisation)
	hashField(digest, model)
	for _, message := range messages {
		hashField(digest, message.Role)
		for _, part := range message.Parts {
			hashField(digest, part)
		}
	}
	return digest.Sum64()
}

// fingerprintCall hashes a request to a plain service.
func fingerprintCall(organisation, target string, body []byte) uint64 {
	digest := xxhash.New()
	hashField(digest, organisation)
	hashField(digest, target)
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// hashField hashes a field with its length, so that different lists of fields never give the same input.
func hashField(digest *xxhash.Digest, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(text)
}
