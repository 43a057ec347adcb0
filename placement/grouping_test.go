package placement

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func groupChat(t *testing.T, organisation, body string) Grouping {
	t.Helper()
	messages, err := ParseMessages([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return DefaultGroupingRule.Group(organisation, messages)
}

func chatJSON(texts ...string) string {
	roles := []string{"system", "user", "assistant", "user"}
	var messages []map[string]string
	for i, text := range texts {
		messages = append(messages, map[string]string{"role": roles[i], "content": text})
	}
	body, _ := json.Marshal(map[string]any{"messages": messages})
	return string(body)
}

var testDocument = strings.Repeat("Use the lemon yellow of the house. ", 300)

// Callers encode the same chat in different ways. Different encodings must give the same hashes, or cached
// prefixes are not found.
func TestGroupingIgnoresEncodingDifferences(t *testing.T) {
	is := is.New(t)
	want := groupChat(t, "org", chatJSON(testDocument, "hello"))
	parts := `{"messages":[{"role":"Developer","content":[{"type":"text","text":` + jsonString(testDocument+"\r\n") + `}]},{"role":"user","content":"hello "}]}`
	got := groupChat(t, "org", parts)
	is.True(want.Group != 0)
	is.Equal(got.Group, want.Group)
	is.Equal(got.Chat, want.Chat)
	is.True(got.FirstTurn)
}

func jsonString(text string) string {
	out, _ := json.Marshal(text)
	return string(out)
}

// Later turns of a chat must keep its group and chat hash. Chats that share a document must share only
// the group, and different organisations must share neither.
func TestGroupingIsStableAcrossTurns(t *testing.T) {
	is := is.New(t)
	first := groupChat(t, "org", chatJSON(testDocument, "first question"))
	later := groupChat(t, "org", chatJSON(testDocument, "first question", "response", "second question"))
	other := groupChat(t, "org", chatJSON(testDocument, "another question"))
	foreign := groupChat(t, "org2", chatJSON(testDocument, "first question"))
	is.Equal(later.Group, first.Group)
	is.Equal(later.Chat, first.Chat)
	is.True(!later.FirstTurn)
	is.Equal(other.Group, first.Group)
	is.True(other.Chat != first.Chat)
	is.True(foreign.Group != first.Group && foreign.Chat != first.Chat)
}

// A document in a user message must keep its group when a different question follows it in the same
// message, or when it grows at its end like a log.
func TestUserDocumentKeepsGroupWhenItsEndChanges(t *testing.T) {
	is := is.New(t)
	a := groupChat(t, "org", chatJSON("be brief", testDocument+"\nwhat colour?"))
	b := groupChat(t, "org", chatJSON("be brief", testDocument+"\nwhich font, and why?"))
	grown := groupChat(t, "org", chatJSON("be brief", testDocument+"One more line.\nwhat colour?"))
	is.True(a.Group != 0)
	is.Equal(b.Group, a.Group)
	is.Equal(grown.Group, a.Group)
	is.True(a.Chat != b.Chat)
	is.Equal(groupChat(t, "org", chatJSON("be brief", "hello")).Group, uint64(0))
}

// Malformed bodies from callers must give an error, neither a panic nor a group.
func TestParseMessagesRejectsMalformedBodies(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{``, `[]`, `{}`, `{"messages":[]}`, `{"messages":[{"content":5}]}`, `{"messages":[{"content":[5]}]}`} {
		_, err := ParseMessages([]byte(body))
		is.True(err != nil) // body must be rejected
	}
	_, err := ParseMessages([]byte(`{"messages":[{"role":"assistant","content":null}]}`))
	is.NoErr(err)
}
