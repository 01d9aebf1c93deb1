package strictjson_test

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"zinniapulley.dev/core/strictjson"
)

type inner struct {
	Port uint16 `json:"port"`
}

type outer struct {
	Name    string              `json:"name"`
	Address netip.AddrPort      `json:"address"`
	Wait    strictjson.Duration `json:"wait,omitempty"`
	List    []inner             `json:"list,omitempty"`
	Inner   *inner              `json:"inner,omitempty"`
	Shares  map[string]int      `json:"shares,omitempty"`
	Deep    map[string]inner    `json:"deep,omitempty"`
}

func TestDecodeReadsAGoodDocument(t *testing.T) {
	var got outer
	faults := strictjson.Decode([]byte(`{"name":"n","address":"10.0.0.1:80","wait":"1.5s",
		"list":[{"port":1}],"inner":{"port":2},"shares":{"a":3}}`), &got)
	if faults.Err() != nil {
		t.Fatal(faults)
	}
	want := outer{
		Name: "n", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Wait: strictjson.Duration(1500 * time.Millisecond),
		List: []inner{{Port: 1}}, Inner: &inner{Port: 2}, Shares: map[string]int{"a": 3},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestDecodeListsEveryFaultWithItsPath(t *testing.T) {
	var got outer
	faults := strictjson.Decode([]byte(`{"address":"nowhere","wait":"-1s","Name":"x",
		"list":[{"port":1},{"port":70000}],"inner":null,"inner":{"port":1},
		"shares":{"a":1.5},"deep":{"x y":{}, "b":[]}}`), &got)
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	want := []string{
		"Name", "address", `deep."x y".port`, "deep.b", "inner", "inner",
		"list[1].port", "name", "shares.a", "wait",
	}
	slices.Sort(paths)
	if !slices.Equal(paths, want) {
		t.Errorf("faults at %q, want %q", paths, want)
	}
	if !faults.Covers("deep.b.port") || faults.Covers("deep.bad") || faults.Covers("list") {
		t.Error("Covers must be true only for a path at or below a fault")
	}
}

func TestDecodeRefusesWhatIsNotOneJSONValue(t *testing.T) {
	for _, text := range []string{"", "{", `{"name":1}{}`, "nul", "[]", "null", `"x"`} {
		t.Run(text, func(t *testing.T) {
			var got outer
			if strictjson.Decode([]byte(text), &got).Err() == nil {
				t.Error("no fault")
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"n","address":"10.0.0.1:80","list":[{"port":1}],"deep":{"a":{"port":3}}}`))
	f.Add([]byte(`{"name":"\ud800","name":"b","inner":{"port":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var strict outer
		faults := strictjson.Decode(data, &strict)
		if faults.Err() != nil {
			return
		}
		var loose outer
		err := json.Unmarshal(data, &loose)
		if err != nil {
			t.Fatalf("strict decoding accepted what encoding/json rejects: %v", err)
		}
	})
}
