package importrule_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/tools/importrule"
)

// workspace is the root of the repository, seen from this package.
const workspace = "../.."

func TestDecisionModulesDoNoIO(t *testing.T) {
	for _, core := range importrule.Cores {
		t.Run(core, func(t *testing.T) {
			g := gomega.NewWithT(t)
			breaches, err := importrule.Check(filepath.Join(workspace, core))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(breaches).To(gomega.BeEmpty())
		})
	}
}

func TestCheckFindsClockAndNetwork(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	source := "package bad\n\nimport (\n\t\"net\"\n\t\"time\"\n\t\"zinniapulley.dev/wire\"\n)\n\nvar _ = net.Dial\nvar _ = wire.X\nvar now = time.Now()\n"
	g.Expect(os.WriteFile(filepath.Join(folder, "bad.go"), []byte(source), 0o600)).To(gomega.Succeed())
	breaches, err := importrule.Check(folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var what []string
	for _, breach := range breaches {
		what = append(what, breach.What)
	}
	g.Expect(what).To(gomega.Equal([]string{"import net", "import zinniapulley.dev/wire", "time.Now"}))
}
