package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the tokeniser model.
const (
	// BytesPerToken is the number of prompt bytes that count as one token.
	BytesPerToken = 4
	// DefaultAnswerTokens is the response length if the request sets no limit.
	DefaultAnswerTokens = 24
	maxAnswerTokens     = 1 << 16
)

// chatRequest holds the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

func parseRequest(body []byte) (*chatRequest, error) {
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if len(request.Messages) == 0 {
		return nil, errors.New("messages is empty")
	}
	return &request, nil
}

// text returns the content of a message, which is a string or a list of parts.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return string(m.Content)
	}
	var all strings.Builder
	for _, part := range parts {
		all.WriteString(part.Text)
	}
	return all.String()
}

// prompt returns the text that the prefix cache is keyed by. The prompt of a later turn starts with the
// prompt and the response of the earlier one.
func (r *chatRequest) prompt() string {
	var text strings.Builder
	for _, m := range r.Messages {
		writePromptMessage(&text, m.Role, m.text())
	}
	return text.String()
}

func writePromptMessage(text *strings.Builder, role, content string) {
	text.WriteString(role)
	text.WriteByte('\n')
	text.WriteString(content)
	text.WriteByte('\n')
}

// answerLength returns the number of tokens of the response.
func (r *chatRequest) answerLength() int {
	limit := max(r.MaxTokens, r.MaxCompletionTokens)
	if limit <= 0 {
		return DefaultAnswerTokens
	}
	return min(limit, maxAnswerTokens)
}

// generateTokens returns the tokens of the response, which depend only on the prompt and the length.
func generateTokens(prompt string, length int) []string {
	state := xxhash.Sum64String(prompt)
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = tokenText(splitMix64(state + uint64(i)*splitMix64Increment))
	}
	return tokens
}

// splitMix64Increment and splitMix64 are the increment and the output function of the SplitMix64 generator.
const splitMix64Increment = 0x9e3779b97f4a7c15

func splitMix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// tokenText returns the text of a token, six letters and a space.
func tokenText(z uint64) string {
	letters := make([]byte, 7)
	for i := range 6 {
		letters[i] = 'a' + byte(z%26)
		z /= 26
	}
	letters[6] = ' '
	return string(letters)
}

// ExpectedContent returns the message content that an Engine generates for a chat completion request. It
// depends only on the messages and the token limit. It is empty for a body that the engine rejects.
func ExpectedContent(body []byte) string {
	request, err := parseRequest(body)
	if err != nil {
		return ""
	}
	return strings.Join(generateTokens(request.prompt(), request.answerLength()), "")
}

// PromptTokens returns the prompt length of a body in tokens, or 0 for a body that the engine rejects.
func PromptTokens(body []byte) int {
	request, err := parseRequest(body)
	if err != nil {
		return 0
	}
	return countTokens(request.prompt())
}

func countTokens(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// contentHash identifies requests with the same prompt and length, whatever their IDs.
func (r *chatRequest) contentHash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d\n%s", r.answerLength(), r.prompt()))
}

// blockHashes returns the hashes of the full blocks of a text. Each hash includes that of the preceding
// block, so it identifies the whole prefix.
func blockHashes(text string, blockTokens int) []uint64 {
	size := blockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(text)/size)
	var chain [8]byte
	digest := xxhash.New()
	for len(text) >= size {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(text[:size])
		hash := digest.Sum64()
		hashes = append(hashes, hash)
		binary.LittleEndian.PutUint64(chain[:], hash)
		text = text[size:]
	}
	return hashes
}

// containsMarker reports whether the body contains the marker. An empty marker never matches.
func containsMarker(body []byte, marker string) bool {
	return marker != "" && bytes.Contains(body, []byte(marker))
}
