package importrule_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/tools/importrule"
)

// workspace is the root of the repository, relative to this package.
const workspace = "../.."

func TestDecisionModulesDoNoIO(t *testing.T) {
	for _, module := range importrule.DecisionModules {
		t.Run(module, func(t *testing.T) {
			g := gomega.NewWithT(t)
			breaches, err := importrule.Check(filepath.Join(workspace, module))
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

func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	g := gomega.NewWithT(t)
	breaches, err := importrule.CheckNames(workspace)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(breaches).To(gomega.BeEmpty())
}

func TestCheckFindsPlatformNames(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(folder, "bad.go"), []byte("package bad\n\nconst key = \"coldLeftMs\"\n"), 0o600)).To(gomega.Succeed())
	breaches, err := importrule.CheckNames(folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(breaches).To(gomega.HaveLen(1))
	g.Expect(breaches[0].Line).To(gomega.Equal(3))
}

// Every link and page name in the documents has an existing target.
func TestDocumentLinksResolve(t *testing.T) {
	g := gomega.NewWithT(t)
	dead, err := importrule.DeadLinks(workspace)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(dead).To(gomega.BeEmpty())
}
