package model

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

func TestKeyIsRedactedWhenPrinted(t *testing.T) {
	k := Key("secret")
	encoded, err := json.Marshal(map[string]any{"key": k, "keys": []Key{k}})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{fmt.Sprint(k), fmt.Sprintf("%v %+v %#v %s %q", k, k, k, k, k), fmt.Sprintf("%+v", struct{ Keys []Key }{[]Key{k}}), string(encoded)} {
		if strings.Contains(text, "secret") {
			t.Error(text)
		}
	}
}

func TestOrganisationAllows(t *testing.T) {
	var none *Organisation
	if !none.Allows("a") || !Anonymous.Allows("a") {
		t.Error("an organisation without regions is restricted to some")
	}
	if o := (&Organisation{Regions: []string{"a", "b"}}); !o.Allows("b") || o.Allows("c") {
		t.Error("the organisation's regions are not enforced")
	}
}

// BenchmarkByKey looks up keys in a table of 10,000 organisations with ten keys each.
func BenchmarkByKey(b *testing.B) {
	var list []*Organisation
	keys := make(map[string][]Key)
	var all []string
	for i := range 10_000 {
		o := &Organisation{Name: fmt.Sprint("organisation-", i)}
		list = append(list, o)
		for j := range 10 {
			k := fmt.Sprintf("key-%d-%d-0123456789", i, j)
			keys[o.Name] = append(keys[o.Name], Key(k))
			all = append(all, k)
		}
	}
	table, err := NewOrganisations(list, keys)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := range b.N {
		if table.ByKey(Key(all[i%len(all)])) == nil {
			b.Fatal("a key has no organisation")
		}
	}
}
