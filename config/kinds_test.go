package config

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/services"
)

// Guards against a mistyped body that is accepted, or rejected without naming the wrong key.
func TestCheckRejectsInvalidBodies(t *testing.T) {
	is := is.New(t)
	pool, organisation := Key{KindPool, "p", 2}, Key{KindOrganisation, "o", 1}
	is.NoErr(Check(pool, []byte(`{"workload":"model","desired":{"model":"m","role":"serve"},"reuse_weight":0}`)))
	is.NoErr(Check(organisation, []byte(`{"weight":3,"tokens_in_flight":100000}`)))
	is.NoErr(Check(Key{KindModel, "m", 1}, []byte(`{"adapters":["a"]}`)))
	for _, c := range []struct {
		key  Key
		body string
		want string
	}{
		{pool, `{}`, "workload"},
		{pool, `{"workload":"model","colour":1}`, "colour"},
		{pool, `{"workload":"model","load_bound":1}`, "load_bound"},
		{pool, `{"workload":"model","max_loading_share":0}`, "max_loading_share"},
		{pool, `{"workload":"model","organisation_weights":{"x":-1}}`, "organisation_weights.x"},
		{pool, `{"workload":"model","desired":{"role":"serve"}}`, "desired.model"},
		{pool, `{"workload":"model","desired":{"model":"m","role":"x"}}`, "desired.role"},
		{pool, `{"workload":"model"} {}`, "after the object"},
		{Key{KindPool, "p", 1}, `{"workload":"model","reuse_weight":1}`, "reuse_weight"},
		{organisation, `{"weight":0}`, "weight"},
		{organisation, `{"requests_per_second":-1}`, "requests_per_second"},
		{Key{KindModel, "m", 1}, `{"context_tokens":0}`, "context_tokens"},
		{Key{KindPool, "p", 3}, `{}`, "schema version 3"},
		{Key{"colour", "p", 1}, `{}`, "colour"},
		{Key{KindPool, "", 1}, `{"workload":"model"}`, "name"},
		{pool, `{"workload":"model","desired":{"model":"` + strings.Repeat("x", maxBody) + `"}}`, "bytes"},
	} {
		err := Check(c.key, []byte(c.body))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), c.want))
	}
}

// Guards against schema versions that replace each other, an invalid body or unknown schema that removes the
// previous body from force, and a reader that gets a version above the one that it supports.
func TestSchemaVersionsAreInForceSideBySide(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	offset := uint64(0)
	apply := func(schema uint32, base uint64, body string) uint64 {
		offset++
		record := setRecord(Key{KindPool, "p", schema}, base, "", body)
		store.ApplyPage(services.Page{
			Records: []services.Record{{Offset: offset, Time: time.Now(), Payload: marshalRecord(record)}}, Next: offset + 1,
		})
		return offset
	}
	store.ApplyPage(services.Page{Records: []services.Record{{Payload: []byte{}}}, Next: 1})
	v1 := apply(1, 0, `{"workload":"service","load_bound":2}`)
	v2 := apply(2, 0, `{"workload":"service","load_bound":3,"engines_check_fencing":true}`)
	apply(9, 0, `{"new":true}`)
	changed, end := store.Subscribe()
	defer end()
	pool, ok := store.View().Pool("p", 1)
	is.True(ok && pool.Schema == 1 && pool.Revision == v1 && pool.LoadBound == 2)
	is.Equal(pool.MaxLoadingShare, defaultPool.MaxLoadingShare)
	pool, ok = store.View().Pool("p", 100)
	is.True(ok && pool.Schema == 2 && pool.Revision == v2 && pool.EnginesCheckFencing)
	invalid := apply(2, v2, `{"workload":"service","load_bound":-3}`)
	<-changed
	pool, _ = store.View().Pool("p", 2)
	is.Equal(pool.Revision, v2)             // the previous body is still in force
	is.Equal(store.Revision(), invalid)     // but the invalid one was accepted, so it is the base of the next change
	is.True(store.Objects()[1].Fault != "") // and its fault is reported
	apply(2, v2, `{"workload":"service"}`)  // its base is outdated, so it is rejected
	pool, _ = store.View().Pool("p", 2)
	is.Equal(pool.LoadBound, 3.0)
	_, ok = store.View().Pool("q", 2)
	is.True(!ok)
	is.Equal(store.View().Organisation("none"), DefaultOrganisation)
	is.Equal(store.View().Pools(), []string{"p"})
}
