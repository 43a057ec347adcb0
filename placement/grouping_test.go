package placement

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func groupOf(t *testing.T, organisation, body string) Grouping {
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

var guide = strings.Repeat("Use the lemon yellow of the house. ", 300)

// Callers spell the same chat in different ways; a change of spelling must not lose the cache.
func TestGroupingNormalises(t *testing.T) {
	is := is.New(t)
	want := groupOf(t, "org", chatJSON(guide, "hello"))
	parts := `{"messages":[{"role":"Developer","content":[{"type":"text","text":` + quote(guide+"\r\n") + `}]},{"role":"user","content":"hello "}]}`
	got := groupOf(t, "org", parts)
	is.True(want.Group != 0)
	is.Equal(got.Group, want.Group)
	is.Equal(got.Chat, want.Chat)
	is.True(got.FirstTurn)
}

func quote(text string) string {
	out, _ := json.Marshal(text)
	return string(out)
}

// Later turns of a chat must keep group and chat; chats that share a document must share only the
// group; organisations must share nothing.
func TestGroupingIsStable(t *testing.T) {
	is := is.New(t)
	first := groupOf(t, "org", chatJSON(guide, "first question"))
	later := groupOf(t, "org", chatJSON(guide, "first question", "response", "second question"))
	other := groupOf(t, "org", chatJSON(guide, "another question"))
	foreign := groupOf(t, "org2", chatJSON(guide, "first question"))
	is.Equal(later.Group, first.Group)
	is.Equal(later.Chat, first.Chat)
	is.True(!later.FirstTurn)
	is.Equal(other.Group, first.Group)
	is.True(other.Chat != first.Chat)
	is.True(foreign.Group != first.Group && foreign.Chat != first.Chat)
}

// A document in the user message is followed by a question, and a log grows at its end.
func TestGroupingOfUserDocument(t *testing.T) {
	is := is.New(t)
	a := groupOf(t, "org", chatJSON("be brief", guide+"\nwhat colour?"))
	b := groupOf(t, "org", chatJSON("be brief", guide+"\nwhich font, and why?"))
	grown := groupOf(t, "org", chatJSON("be brief", guide+"One more line.\nwhat colour?"))
	is.True(a.Group != 0)
	is.Equal(b.Group, a.Group)
	is.Equal(grown.Group, a.Group)
	is.True(a.Chat != b.Chat)
	is.Equal(groupOf(t, "org", chatJSON("be brief", "hello")).Group, uint64(0))
}

// Input from callers must give an error, not a panic or a group.
func TestParseMessagesRefuses(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{``, `[]`, `{}`, `{"messages":[]}`, `{"messages":[{"content":5}]}`, `{"messages":[{"content":[5]}]}`} {
		_, err := ParseMessages([]byte(body))
		is.True(err != nil) // body must be refused
	}
	_, err := ParseMessages([]byte(`{"messages":[{"role":"assistant","content":null}]}`))
	is.NoErr(err)
}
