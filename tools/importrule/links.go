package importrule

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/juju/errors"
)

// linkPattern matches the targets of links, pagePattern the page names that a
// document quotes.
var (
	linkPattern = regexp.MustCompile(`\]\(([^)#:]+)[)#]`)
	pagePattern = regexp.MustCompile("`(docs/[A-Za-z/.-]+\\.md)`")
)

// DeadLinks returns every link and page name in the workspace's documents whose
// target doesn't exist, as "document: target".
func DeadLinks(workspace string) ([]string, error) {
	var dead []string
	walk := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".md") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range linkPattern.FindAllSubmatch(source, -1) {
			dead = append(dead, deadTarget(path, filepath.Join(filepath.Dir(path), string(match[1])))...)
		}
		for _, match := range pagePattern.FindAllSubmatch(source, -1) {
			dead = append(dead, deadTarget(path, filepath.Join(workspace, string(match[1])))...)
		}
		return nil
	}
	err := filepath.WalkDir(workspace, walk)
	return dead, errors.Annotatef(err, "check links below %s", workspace)
}

func deadTarget(document, target string) []string {
	_, err := os.Stat(target)
	if err == nil {
		return nil
	}
	return []string{document + ": " + target}
}
