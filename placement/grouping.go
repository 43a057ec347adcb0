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

// GroupingRule says how the document of a chat is found.
type GroupingRule struct {
	// MinDocumentBytes is the length of text from which a message counts as a document. Shorter
	// prompts are not worth a group, because computing them again costs little.
	MinDocumentBytes int
	// HeadBytes is how much of a document is hashed at most. The largest power of two that fits
	// both counts, so a document that grows at its end, such as a log, mostly keeps its group, and
	// so does one that is followed by a question in the same message. Chats of one group share at
	// least half of the document or HeadBytes.
	HeadBytes int
}

// DefaultGroupingRule treats about 500 tokens as a document and tells documents apart by their
// first 4,000 tokens.
var DefaultGroupingRule = GroupingRule{MinDocumentBytes: 2048, HeadBytes: 16384}

// Grouping is what the first messages of a chat say about its cached prefix.
type Grouping struct {
	// Group is the hash of organisation and document; 0 when there is no document.
	Group uint64
	// Chat is the hash of organisation and the messages before the first response. It is the same
	// in every turn of a chat, so it stands in for a chat header.
	Chat uint64
	// PromptBytes is the length of all text in the messages.
	PromptBytes int
	// DocumentBytes is the length of the text up to the end of the document, and HistoryBytes that up
	// to the last message.
	DocumentBytes int
	HistoryBytes  int
	// FirstTurn is true when the messages hold no response yet.
	FirstTurn bool
}

// ErrNoMessages means that a body is JSON but has no chat messages.
var ErrNoMessages = errors.New("body has no messages")

// Message is one normalised chat-completions message.
type Message struct {
	Role string
	// Parts are the text parts; a plain string content is one part.
	Parts []string
}

type chatBody struct {
	Messages []struct {
		Role    string  `json:"role"`
		Content content `json:"content"`
	} `json:"messages"`
}

// content is a string, null, or a list of parts of which those with text count.
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
// with "developer" as "system", line ends as LF, no white space around a part, no empty parts.
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
		messages[i] = Message{Role: normalRole(m.Role), Parts: normalParts(m.Content)}
	}
	return messages, nil
}

func normalRole(role string) string {
	role = strings.ToLower(strings.TrimSpace(role))
	if role == "developer" {
		return roleSystem
	}
	return role
}

func normalParts(parts []string) []string {
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
// document part among the messages before the first response; a question after it does not count.
func (r GroupingRule) Group(organisation string, messages []Message) Grouping {
	g := Grouping{FirstTurn: true}
	chat := newPrefixHash("chat", organisation)
	document := newPrefixHash("document", organisation)
	first := firstTurn(messages)
	for i, m := range messages {
		g.HistoryBytes = g.PromptBytes
		for _, part := range m.Parts {
			g.PromptBytes += len(part)
			if i >= first {
				continue
			}
			chat.add(m.Role, part)
			document.add(m.Role, r.head(part))
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

func (r GroupingRule) head(part string) string {
	if len(part) < r.MinDocumentBytes {
		return part
	}
	return part[:min(1<<(bits.Len(uint(len(part)))-1), r.HeadBytes)]
}

// firstTurn returns the number of messages up to and including the first that is not a system
// message; callers may append system messages later in a chat.
func firstTurn(messages []Message) int {
	for i, m := range messages {
		if m.Role != roleSystem {
			return i + 1
		}
	}
	return len(messages)
}

// prefixHash hashes a sequence of texts, each with its length, so that moving text from one to the
// next changes the hash.
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

// sum returns the hash so far; 0 is reserved for "none".
func (h prefixHash) sum() uint64 { return max(h.digest.Sum64(), 1) }

// HashKey returns the hash of a chat header or an idempotency key of one organisation, for
// Request.Chat and Request.KeyHash.
func HashKey(organisation, key string) uint64 {
	return newPrefixHash("key", organisation).with(key).sum()
}

func (h prefixHash) with(text string) prefixHash {
	h.addText(text)
	return h
}
