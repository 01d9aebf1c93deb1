package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

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
