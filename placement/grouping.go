package placement

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// GroupingRule configures how the document of a chat is recognised and hashed.
type GroupingRule struct {
	// MinDocumentBytes is the minimum length of a text part that counts as a document. Shorter
	// prompts get no group, because computing them again costs little.
	MinDocumentBytes int
	// MaxHashedBytes limits how much of a document is hashed. The hashed length is the largest power
	// of two that does not exceed the document's length, or MaxHashedBytes if that is less. A document
	// that grows at its end, such as a log, therefore usually keeps its group, and so does one that is
	// followed by a question in the same message. The documents of one group begin with the same bytes:
	// at least half of each document, or MaxHashedBytes if that is less.
	MaxHashedBytes int
}

// DefaultGroupingRule treats texts of at least about 500 tokens as documents and distinguishes documents
// by their first 4,000 tokens.
var DefaultGroupingRule = GroupingRule{MinDocumentBytes: 2048, MaxHashedBytes: 16384}

// Grouping identifies the cacheable prefix of a chat, derived from its messages.
type Grouping struct {
	// Group is the hash of the organisation and the document; 0 when there is no document.
	Group uint64
	// Chat is the hash of the organisation, the leading system messages and the first message after
	// them. It is the same in every turn of a chat, so it replaces a missing Jacinthfork-Chat header.
	Chat uint64
	// PromptBytes is the length of all text in the messages.
	PromptBytes int
	// DocumentBytes is the length of the text up to the end of the document, and HistoryBytes the
	// length of the text before the last message.
	DocumentBytes int
	HistoryBytes  int
	// FirstTurn is true when the messages contain no response yet.
	FirstTurn bool
}

// ErrNoMessages is returned for a body that is valid JSON but has no chat messages.
var ErrNoMessages = errors.New("body has no messages")

// Message is one normalised chat-completions message.
type Message struct {
	Role string
	// Parts holds the text parts; content that is a plain string is a single part.
	Parts []string
}

// chatBody is the part of a chat-completions body that grouping needs. encoding/json puts the names of
// chatBody and content into its errors, which reach the caller, so renaming them changes those texts.
type chatBody struct {
	Messages []struct {
		Role    string  `json:"role"`
		Content content `json:"content"`
	} `json:"messages"`
}

// content is decoded from a string, null or a list of parts; parts without text are dropped.
type content []string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte("[")) {
		return c.unmarshalParts(data)
	}
	var text *string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*c = nil
	if text != nil {
		*c = content{*text}
	}
	return nil
}

func (c *content) unmarshalParts(data []byte) error {
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	*c = nil
	for _, p := range parts {
		if p.Text != "" {
			*c = append(*c, p.Text)
		}
	}
	return nil
}

// ParseMessages returns the normalised messages of a chat-completions body: roles in lower case
// with "developer" mapped to "system", LF line endings, parts trimmed of white space and empty parts
// removed.
func ParseMessages(body []byte) ([]Message, error) {
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, fmt.Errorf("chat body: %w", err)
	}
	if len(parsed.Messages) == 0 {
		return nil, ErrNoMessages
	}
	messages := make([]Message, len(parsed.Messages))
	for i, m := range parsed.Messages {
		messages[i] = Message{Role: normaliseRole(m.Role), Parts: normaliseParts(m.Content)}
	}
	return messages, nil
}

func normaliseRole(role string) string {
	role = strings.ToLower(strings.TrimSpace(role))
	if role == "developer" {
		return roleSystem
	}
	return role
}

func normaliseParts(parts []string) []string {
	out := parts[:0]
	for _, p := range parts {
		p = strings.TrimSpace(strings.ReplaceAll(p, "\r\n", "\n"))
		if p != "" {
			out = append(out, p)
		}
	}
	return out
}

const (
	roleSystem    = "system"
	roleAssistant = "assistant"
)

// Group computes the grouping of a chat. The group covers the parts up to and including the last
// document part among the leading system messages and the first message after them; a question that
// follows the document is excluded.
func (r GroupingRule) Group(organisation string, messages []Message) Grouping {
	g := Grouping{FirstTurn: true}
	chat := newPrefixHash("chat", organisation)
	document := newPrefixHash("document", organisation)
	first := firstTurnLength(messages)
	for i, m := range messages {
		g.HistoryBytes = g.PromptBytes
		for _, part := range m.Parts {
			g.PromptBytes += len(part)
			if i >= first {
				continue
			}
			chat.add(m.Role, part)
			document.add(m.Role, r.hashedHead(part))
			if len(part) >= r.MinDocumentBytes {
				g.Group = document.sum()
				g.DocumentBytes = g.PromptBytes
			}
		}
		g.FirstTurn = g.FirstTurn && m.Role != roleAssistant
	}
	g.Chat = chat.sum()
	return g
}

// hashedHead returns the start of a document part that is hashed, or the whole of a shorter part.
func (r GroupingRule) hashedHead(part string) string {
	if len(part) < r.MinDocumentBytes {
		return part
	}
	return part[:min(1<<(bits.Len(uint(len(part)))-1), r.MaxHashedBytes)]
}

// firstTurnLength returns the number of messages up to and including the first one that is not a
// system message. Later system messages are excluded, because callers may append them in any turn, which
// must not change the hashes.
func firstTurnLength(messages []Message) int {
	for i, m := range messages {
		if m.Role != roleSystem {
			return i + 1
		}
	}
	return len(messages)
}

// prefixHash hashes a sequence of texts, each prefixed with its length, so that moving a text boundary
// changes the hash.
type prefixHash struct{ digest *xxhash.Digest }

func newPrefixHash(purpose, organisation string) prefixHash {
	h := prefixHash{xxhash.New()}
	h.add(purpose, organisation)
	return h
}

func (h prefixHash) add(label, text string) {
	h.addText(label)
	h.addText(text)
}

func (h prefixHash) addText(text string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = h.digest.Write(length[:])
	_, _ = h.digest.WriteString(text)
}

// sum returns the hash of the texts added so far. It is never 0, which means "none".
func (h prefixHash) sum() uint64 { return max(h.digest.Sum64(), 1) }

// HashKey returns the hash of the organisation and the value of a Jacinthfork-Chat header or an
// idempotency key, for Request.Chat and Request.KeyHash.
func HashKey(organisation, key string) uint64 {
	return newPrefixHash("key", organisation).with(key).sum()
}

func (h prefixHash) with(text string) prefixHash {
	h.addText(text)
	return h
}
