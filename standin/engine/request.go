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

// Sizes of the token model.
const (
	// BytesPerToken is the prompt text that counts as one token.
	BytesPerToken = 4
	// DefaultAnswerTokens is the length of an answer when the request sets no limit.
	DefaultAnswerTokens = 24
	maxAnswerTokens     = 1 << 16
)

// chatRequest is the part of a chat-completions request that the engine uses.
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

// prompt returns the text that the prefix cache sees. The prompt of a later turn begins with the
// prompt and the answer of the earlier one.
func (r *chatRequest) prompt() string {
	var text strings.Builder
	for _, m := range r.Messages {
		writeTurn(&text, m.Role, m.text())
	}
	return text.String()
}

func writeTurn(text *strings.Builder, role, content string) {
	text.WriteString(role)
	text.WriteByte('\n')
	text.WriteString(content)
	text.WriteByte('\n')
}

func (r *chatRequest) answerTokens() int {
	limit := max(r.MaxTokens, r.MaxCompletionTokens)
	if limit <= 0 {
		return DefaultAnswerTokens
	}
	return min(limit, maxAnswerTokens)
}

// answer returns the tokens of the answer, a function of prompt and length only.
func answer(prompt string, length int) []string {
	state := xxhash.Sum64String(prompt)
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = word(mix(state + uint64(i)*goldenRatio))
	}
	return tokens
}

// goldenRatio and mix are SplitMix64.
const goldenRatio = 0x9e3779b97f4a7c15

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// word returns six letters and a space.
func word(z uint64) string {
	letters := make([]byte, 7)
	for i := range 6 {
		letters[i] = 'a' + byte(z%26)
		z /= 26
	}
	letters[6] = ' '
	return string(letters)
}

// Answer returns the content that an Engine gives for a chat-completions body. It depends on the
// messages and the token limit only. It is empty for a body that the engine refuses.
func Answer(body []byte) string {
	request, err := parseRequest(body)
	if err != nil {
		return ""
	}
	return strings.Join(answer(request.prompt(), request.answerTokens()), "")
}

// PromptTokens returns the prompt length of a body in tokens, or 0 for a body that the engine
// refuses.
func PromptTokens(body []byte) int {
	request, err := parseRequest(body)
	if err != nil {
		return 0
	}
	return tokensOf(request.prompt())
}

func tokensOf(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// contentHash identifies equal requests whatever their ids.
func (r *chatRequest) contentHash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d\n%s", r.answerTokens(), r.prompt()))
}

// blockHashes returns the chained hashes of the full blocks of a text.
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

// crashes reports whether the body carries the marker; an empty marker never matches.
func crashes(body []byte, marker string) bool {
	return marker != "" && bytes.Contains(body, []byte(marker))
}
