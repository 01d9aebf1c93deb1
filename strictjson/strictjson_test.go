package strictjson_test

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/strictjson"
)

type inner struct {
	Address netip.AddrPort      `json:"address"`
	Wait    strictjson.Duration `json:"wait"`
	Size    uint8               `json:"size"`
}

type document struct {
	Name  string           `json:"name"`
	Inner *inner           `json:"inner"`
	List  []inner          `json:"list"`
	Named map[string]inner `json:"named"`
}

func paths(err error) []string {
	var faults strictjson.Faults
	if !errors.As(err, &faults) {
		return nil
	}
	var found []string
	for _, fault := range faults {
		found = append(found, fault.Path)
	}
	return found
}

func TestDecodeReportsEveryFaultWithItsPath(t *testing.T) {
	cases := map[string]struct {
		input string
		want  []string
	}{
		"good":           {`{"name":"a","inner":{"address":"127.0.0.1:1","wait":"2s","size":3}}`, nil},
		"empty":          {``, []string{"$"}},
		"trailing data":  {`{} {}`, []string{"$"}},
		"truncated":      {`{"name":`, []string{"$"}},
		"not an object":  {`[]`, []string{"$"}},
		"unknown fields": {`{"nmae":"a","inner":{"x":1}}`, []string{"$.inner.x", "$.nmae"}},
		"wrong types":    {`{"name":1,"list":[{"size":300},{"wait":5}]}`, []string{"$.list[0].size", "$.list[1].wait", "$.name"}},
		"bad texts":      {`{"named":{"k":{"address":"here","wait":"soon"}}}`, []string{"$.named.k.address", "$.named.k.wait"}},
		"list for map":   {`{"named":[]}`, []string{"$.named"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			err := strictjson.Decode([]byte(c.input), 1000, &document{})
			g.Expect(paths(err)).To(gomega.Equal(c.want))
		})
	}
}

func TestDecodeRefusesAnOversizeDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	err := strictjson.Decode([]byte(`{"name":"a"}`), 5, &document{})
	g.Expect(paths(err)).To(gomega.Equal([]string{"$"}))
}
