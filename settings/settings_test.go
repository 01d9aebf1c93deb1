package settings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/core/strictjson"
	"zinniapulley.dev/settings"
)

const goodEntry = `{
  "role": "entry", "instance": "entry-1", "dataCentre": "gent",
  "controls": ["127.0.0.1:7001"],
  "entry": {"packets": "127.0.0.1:6081"}
}`

func TestParseFillsInDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	parsed, err := settings.Parse([]byte(goodEntry))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(time.Duration(parsed.StopDeadline)).To(gomega.Equal(30 * time.Second))
	g.Expect(parsed.Log).To(gomega.Equal(settings.Log{Level: "info", Format: "text"}))
}

func TestParseListsAllErrors(t *testing.T) {
	cases := map[string]struct {
		input string
		want  []string
	}{
		"no role":              {`{"instance":"a","dataCentre":"b"}`, []string{"role"}},
		"role without section": {`{"role":"entry","instance":"a","dataCentre":"b"}`, []string{"entry"}},
		"section of another role": {
			`{"role":"entry","instance":"a","dataCentre":"b","controls":["127.0.0.1:1"],"entry":{"packets":"127.0.0.1:2"},"control":{"rpc":"127.0.0.1:1","operators":"127.0.0.1:2","dataFolder":"d","members":[]}}`,
			[]string{"control"},
		},
		"several errors": {
			`{"role":"companion","log":{"level":"loud"},"companion":{"service":"s","packets":"[::1]:5"}}`,
			[]string{
				"instance", "dataCentre", "log.level", "controls", "companion.backendServer",
				"companion.packets", "companion.rpc", "companion.fabricReturn",
				"companion.capacity",
			},
		},
		"control not among its members": {
			`{"role":"control","instance":"a","dataCentre":"b","control":{"rpc":"127.0.0.1:1","operators":"127.0.0.1:2","dataFolder":"d","members":[{"instance":"c","rpc":"127.0.0.1:3"},{"instance":"c","rpc":"127.0.0.1:3"}]}}`,
			[]string{"control.members[1].instance", "control.members"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := settings.Parse([]byte(c.input))
			var faults strictjson.Faults
			g.Expect(errors.As(err, &faults)).To(gomega.BeTrue())
			var found []string
			for _, fault := range faults {
				found = append(found, fault.Path)
			}
			g.Expect(found).To(gomega.ConsistOf(c.want))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodEntry))
	f.Add([]byte(`{"role":"control","control":{"members":[{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := settings.Parse(data)
		if (parsed == nil) == (err == nil) {
			t.Fatalf("parsed %v with error %v", parsed, err)
		}
	})
}
