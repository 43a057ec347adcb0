package poison

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// known is what a table knows about a suspect, without times.
type known struct {
	generation, depth uint32
	crashes, begun    crashList
	trials            int
}

func knowledge(t *Table) map[suspect]known {
	out := make(map[suspect]known)
	for id, p := range t.evidence {
		out[id] = known{p.generation, p.depth, append(crashList{}, p.crashes...), append(crashList{}, p.begun...), p.trials}
	}
	return out
}

// Guards against routers that decide differently because messages reached them in another order or twice.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.Uint64Range(1, 4)
		messages := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *peerpb.Suspect {
			m := &peerpb.Suspect{
				Id: id.Draw(t, "id"), Generation: rapid.Uint32Range(0, 2).Draw(t, "generation"), Depth: rapid.Uint32Range(0, 4).Draw(t, "depth"),
			}
			if m.Depth > 0 {
				m.Crashes = rapid.SliceOfN(rapid.Uint32Range(1, 50), 0, 40).Draw(t, "crashes")
				m.BegunCrashes = rapid.SliceOfN(rapid.Uint32Range(1, 50), 0, 40).Draw(t, "begun crashes")
				m.Trials = rapid.Uint32Range(0, 3).Draw(t, "trials")
			}
			return m
		}), 0, 12).Draw(t, "messages")
		order := rapid.Permutation(messages).Draw(t, "order")
		_, all := newTables(2)
		all[0].Merge(messages, messages)
		all[1].Merge(order, nil)
		all[1].Merge(nil, order)
		all[1].Merge(messages, messages)
		if a, b := knowledge(all[0]), knowledge(all[1]); !reflect.DeepEqual(a, b) {
			t.Fatalf("in order: %v, in another order and repeated: %v", a, b)
		}
	})
}

// Guards against a sound part that a router refuses for minutes because it missed the one time that the clearing response
// was told, for example while it was frozen or cut off: it sends no request with the part that could clear it.
func TestRouterThatMissedAClearanceIsTold(t *testing.T) {
	is := is.New(t)
	c, all := newTables(2)
	for range blockDepth {
		crash(all[0], guide)
	}
	exchange(all...)
	is.True(blocked(all[1], guide, page))
	all[0].RecordAnswer(prompt(guide))
	c.at = c.at.Add(newsPeriod + time.Second)
	for range 2 {
		exchange(all...)
	}
	is.True(!blocked(all[1], guide, page))
}

// Guards against evidence that is lost because a router has forgotten, or never heard, that a part was cleared before.
func TestEvidenceOfAnOlderGenerationBringsTheNewerOne(t *testing.T) {
	is := is.New(t)
	c, all := newTables(2)
	crash(all[0], deadly)
	all[0].RecordAnswer(prompt(deadly))
	c.at = c.at.Add(newsPeriod + time.Second)
	for range blockDepth + 1 {
		crash(all[1], deadly)
		exchange(all...)
		exchange(all...)
	}
	is.True(blocked(all[0], deadly))
	is.True(blocked(all[1], deadly))
}

// Guards against sound parts that stay blocked where they are not answered because more suspected parts than a message holds
// displace the news of their clearance.
func TestClearancesFitBesideManySuspects(t *testing.T) {
	is := is.New(t)
	_, all := newTables(2)
	for range blockDepth {
		crash(all[0], guide)
	}
	exchange(all...)
	for i := range uint64(2 * maxToldParts) {
		crash(all[0], 1000+i)
	}
	all[0].RecordAnswer(prompt(guide))
	exchange(all...)
	is.True(!blocked(all[1], guide, page))
}

// Guards against blocks that never end because each message, which takes a while, makes the last crash later.
func TestBlockEndsDespiteDelayedMessages(t *testing.T) {
	is := is.New(t)
	c, all := newTables(2)
	for range blockDepth {
		crash(all[0], guide)
	}
	for begin := c.at; c.at.Sub(begin) < blockPeriod; {
		for i := range all {
			parts, requests := all[i].Export()
			c.at = c.at.Add(100 * time.Millisecond)
			all[1-i].Merge(parts, requests)
		}
		c.at = c.at.Add(300 * time.Millisecond)
	}
	is.True(all[0].Try(prompt(guide), notResponsible))
	c.at = c.at.Add(time.Second)
	is.True(all[1].Try(prompt(guide), notResponsible))
}

// Guards against a chain of crashes that does not go on at a router which has started since the last one.
func TestSuspectedPartsAreToldToNewRouters(t *testing.T) {
	is := is.New(t)
	c, all := newTables(2)
	for range blockDepth - 1 {
		crash(all[0], deadly)
	}
	c.at = c.at.Add(newsPeriod + time.Second)
	exchange(all...)
	crash(all[1], deadly)
	exchange(all...)
	is.True(blocked(all[0], deadly))
	is.True(blocked(all[1], deadly))
}

// Guards against a log line that says that a part alone is blocked, because the parts that may be the cause instead come later
// in the same message.
func TestMergeNamesAlternativesOfTheSameMessage(t *testing.T) {
	is := is.New(t)
	_, all := newTables(2)
	for range blockDepth {
		crash(all[0], guide, deadly)
	}
	suspicions, _ := all[1].Merge(all[0].Export())
	is.Equal(len(suspicions), 2)
	for _, s := range suspicions {
		is.Equal(s.Alternatives, []uint64{guide + deadly - s.ID})
	}
}

// Guards against a part that crashes engines at all routers because what each knows of it does not fit into messages beside
// the parts that were blocked long ago, such as those of an outage.
func TestOldSuspectsDoNotDisplaceNewOnes(t *testing.T) {
	is := is.New(t)
	c, all := newTables(blockDepth)
	blockMany(all[0])
	c.at = c.at.Add(time.Minute)
	for i := range blockDepth {
		crash(all[i], deadly)
		exchange(all...)
	}
	for _, table := range all {
		is.True(blocked(table, deadly))
	}
}

// Guards against a router that has just started and is never told of some of the blocked parts, because they do not all fit
// into one message.
func TestNewRoutersLearnAllOfManyBlockedParts(t *testing.T) {
	is := is.New(t)
	c, all := newTables(2)
	blockMany(all[0])
	c.at = c.at.Add(time.Minute)
	for range 60 {
		exchange(all...)
	}
	is.Equal(all[1].Counts().BlockedParts, all[0].Counts().BlockedParts)
}

// blockMany blocks more parts than a message holds.
func blockMany(t *Table) {
	for i := range uint64(2 * maxToldParts) {
		for range blockDepth {
			crash(t, 1000+i)
		}
	}
}
