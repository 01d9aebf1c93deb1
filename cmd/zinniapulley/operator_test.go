package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"zinniapulley.dev/control/operator"
)

const testToken = "secret of the feeds team"

// operatorFor starts a control instance in its own process and returns the flags
// that reach it and the buffer that commands write to.
func operatorFor(t *testing.T) (operatorFlags, *bytes.Buffer) {
	t.Helper()
	control := controlSettings(t, freeAddress(t))
	hash := sha256.Sum256([]byte(testToken))
	document := strings.Replace(testConfiguration, "eacacfab74cf6c8d5e3931653c90b5cc209f88f9ce92fc8fd30c31c113ac5072", hex.EncodeToString(hash[:]), 1)
	err := os.WriteFile(control.Control.InitialConfiguration, []byte(document), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	startProcess(t, control)
	out := &bytes.Buffer{}
	return operatorFlags{Controls: []netip.AddrPort{control.Control.Operators}, Token: testToken, Timeout: 20 * time.Second, out: out}, out
}

func TestOperatorChangesTheConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	flags, out := operatorFor(t)
	g.Expect((&statusCommand{flags}).Run()).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("revision 1"))

	out.Reset()
	g.Expect((&configGet{operatorFlags: flags, Section: "services/feed"}).Run()).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("192.0.2.10:80"))

	body := filepath.Join(t.TempDir(), "feed.json")
	g.Expect(os.WriteFile(body, []byte(`{"address": "192.0.2.11:80", "kind": "stream", "team": "feeds", "capacity": {"connections": 100, "slots": 5}}`), 0o600)).To(gomega.Succeed())
	submit := &configSubmit{changeFlags: changeFlags{operatorFlags: flags, Wait: true}, Section: "services/feed", File: body, Base: 1}
	g.Expect(submit.Run()).To(gomega.Succeed())
	// The same request id again gets the same answer.
	g.Expect(submit.Run()).To(gomega.Succeed())
	conflicting := &configSubmit{changeFlags: changeFlags{operatorFlags: flags}, Section: "services/feed", File: body, Base: 1}
	g.Expect(conflicting.Run()).To(gomega.MatchError(gomega.ContainSubstring("next: get the section again")))

	g.Expect((&datacentreOut{changeFlags: changeFlags{operatorFlags: flags}, Name: "gent"}).Run()).To(gomega.Succeed())
	out.Reset()
	g.Expect((&configHistory{operatorFlags: flags}).Run()).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("dataCentres"))
	out.Reset()
	g.Expect((&configDiff{operatorFlags: flags, From: 1}).Run()).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("192.0.2.11:80"))
}

func TestOperatorErrorsNameTheNextStep(t *testing.T) {
	g := gomega.NewWithT(t)
	flags, _ := operatorFor(t)
	flags.Token = "wrong"
	g.Expect((&statusCommand{flags}).Run()).To(gomega.MatchError(gomega.ContainSubstring("check --token")))
	unknown := &operator.Error{Code: operator.CodeUnknown, Message: "no answer"}
	g.Expect(explain(unknown)).To(gomega.MatchError(gomega.ContainSubstring("same --request-id")))
}

// A document in which two teams have one token hash was accepted; the token then
// authenticated only one of them.
func TestSharedTokenIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	flags, _ := operatorFor(t)
	hash := sha256.Sum256([]byte(testToken))
	token := hex.EncodeToString(hash[:])
	teams := `{"feeds": {"tokens": ["` + token + `"], "sections": ["services/*", "dataCentres", "limits", "teams"]}, "kits": {"tokens": ["` + token + `"], "sections": []}}`
	body := filepath.Join(t.TempDir(), "teams.json")
	g.Expect(os.WriteFile(body, []byte(teams), 0o600)).To(gomega.Succeed())
	submit := &configSubmit{changeFlags: changeFlags{operatorFlags: flags}, Section: "teams", File: body, Base: 1}
	g.Expect(submit.Run()).To(gomega.MatchError(gomega.ContainSubstring("is also a token of team")))

	document := strings.Replace(testConfiguration, `"teams": {`, `"teams": {"kits": {"tokens": ["eacacfab74cf6c8d5e3931653c90b5cc209f88f9ce92fc8fd30c31c113ac5072"], "sections": []}, `, 1)
	_, err := checkDocument([]byte(document))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("is also a token of team")))
}
