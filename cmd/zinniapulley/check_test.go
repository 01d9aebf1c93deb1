package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/onsi/gomega"
)

const deployFile = "../../deploy/system.toml"

func TestDeployFileIsValid(t *testing.T) {
	g := gomega.NewWithT(t)
	kind, problems, err := checkPlatformFile(deployFile)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(kind).To(gomega.Equal("deploy file"))
	g.Expect(problems).To(gomega.BeEmpty())
}

func TestCheckReportsDeployFileErrors(t *testing.T) {
	good, err := os.ReadFile(deployFile)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ from, to, problem string }{
		"unknown command":   {"platform control", "platform controll", "roles.control.run"},
		"unknown flag":      {"platform entry --metrics-port", "platform entry --metric-port", "roles.entry.run"},
		"weight of zero":    {"platform companion --metrics-port", "platform companion --route-weight=reads=0 --metrics-port", `weight 0 of route "reads"`},
		"no weight":         {"platform companion --metrics-port", "platform companion --route-weight=reads --metrics-port", "route-weight"},
		"negative cost":     {"leaving-cost-ms=5", "leaving-cost-ms=-1", "must be from 0 to 60000 milliseconds"},
		"cost not a number": {"leaving-cost-ms=5", "leaving-cost-ms=NaN", "must be from 0 to 60000 milliseconds"},
		"cost with a unit":  {"leaving-cost-ms=5", "leaving-cost-ms=5ms", "--leaving-cost-ms"},
		"another port":      {"entry --metrics-port=9464", "entry --metrics-port=9465", "roles.entry.metrics"},
		"nobody serves":     {`serves = ["side"]`, "", `none serves "side"`},
		"unknown interface": {`serves = ["side"]`, `serves = ["sides"]`, "roles.companion.serves"},
		"no machines":       {`on = "core"`, "", "roles.control.on"},
		"share too high":    {"share = 0.5", "share = 1.5", "roles.control.share"},
		"no TOML":           {"build =", "build", "toml"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			path := filepath.Join(t.TempDir(), "system.toml")
			changed := strings.Replace(string(good), c.from, c.to, 1)
			g.Expect(changed).NotTo(gomega.Equal(string(good)))
			g.Expect(os.WriteFile(path, []byte(changed), 0o600)).To(gomega.Succeed())
			_, problems, err := checkPlatformFile(path)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(problems).To(gomega.ContainElement(gomega.ContainSubstring(c.problem)))
		})
	}
}

// An operator names the routes that get more than an equal share, one flag for each.
func TestRouteWeightsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	var parsed commands
	parser, err := kong.New(&parsed, kong.Name("zinniapulley"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = parser.Parse([]string{"platform", "companion", "--route-weight=reads=2.5", "--route-weight=writes=1"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(parsed.Platform.Companion.RouteWeight).To(gomega.Equal(map[string]float64{"reads": 2.5, "writes": 1}))
}
