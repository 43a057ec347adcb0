package routes

import (
	"testing"

	"github.com/matryer/is"
)

func table(t *testing.T, list ...*Route) *Table {
	t.Helper()
	org := &Organisation{Name: "org"}
	tab, err := New(Spec{
		Version: 1, Routes: list, Pools: []*Pool{{Name: "a"}, {Name: "b"}},
		Organisations: []*Organisation{org}, Keys: map[string]*Organisation{"k": org},
	})
	is.New(t).NoErr(err)
	return tab
}

// Guards against matching a route with a shorter prefix or of another host.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	is := is.New(t)
	to := []Target{{Pool: "a", Weight: 1}}
	short := &Route{Name: "short", Host: "h", Prefix: "/x/", Targets: to}
	long := &Route{Name: "long", Host: "h", Prefix: "/x/y/", Targets: to}
	tab := table(t, short, long)
	is.Equal(tab.Match("h", "/x/y/1"), long)
	is.Equal(tab.Match("H:80", "/x/yy/1"), short)
	is.Equal(tab.Match("h", "/x"), nil)
	is.Equal(tab.Match("other", "/x/1"), nil)
}

// Guards against accepting requests without a known key, and against accepting the empty key.
func TestAuthoriseChecksKeys(t *testing.T) {
	is := is.New(t)
	closed, public := &Route{}, &Route{Public: true}
	tab := table(t)
	owner, ok := tab.Authorise(closed, "k")
	is.True(ok && owner.Name == "org")
	for _, key := range []string{"", "other"} {
		owner, ok = tab.Authorise(closed, key)
		is.True(!ok && owner == nil)
		owner, ok = tab.Authorise(public, key)
		is.True(ok && owner == nil)
	}
	open, err := New(Spec{})
	is.NoErr(err)
	_, ok = open.Authorise(closed, "")
	is.True(ok) // a configuration without organisations
}

// Guards against a traffic split that does not follow the configured weights, and against sending requests to
// a pool of weight 0.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Targets: []Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	first := map[string]int{}
	for key := range uint64(1000) {
		order := r.PoolOrder(key)
		is.Equal(len(order), 2)
		first[order[0]]++
	}
	is.Equal(first["a"], 900)
	none := &Route{Targets: []Target{{Pool: "a", Weight: 1}, {Pool: "b"}}}
	for key := range uint64(10) {
		is.Equal(none.PoolOrder(key), []string{"a"})
	}
}

// Guards against accepting a configuration that cannot be applied.
func TestNewRejectsInvalidRoutes(t *testing.T) {
	is := is.New(t)
	for _, r := range []*Route{
		{Prefix: "x/", Targets: []Target{{Pool: "a"}}},
		{Prefix: "/x", Targets: []Target{{Pool: "a"}}},
		{Prefix: "/x/"},
		{Prefix: "/x/", Targets: []Target{{Pool: "unknown"}}},
	} {
		_, err := New(Spec{Routes: []*Route{r}, Pools: []*Pool{{Name: "a"}}})
		is.True(err != nil)
	}
}
