package durable_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"zinniapulley.dev/consensus"
	"zinniapulley.dev/durable"
)

const folder = "/data"

func initialState() durable.Base {
	return durable.Base{Self: consensus.MemberID{Instance: "a", Incarnation: 7}, Stored: consensus.Stored{HardState: consensus.HardState{Term: 1}}}
}

// action returns the i-th Persist of a run: entries and, at random, a new term, a
// truncation or a snapshot.
func action(random *rand.Rand, i int) consensus.Persist {
	p := consensus.Persist{Sequence: consensus.Sequence(i)}
	first := consensus.Index(i)
	if random.IntN(4) == 0 && i > 2 {
		first--
	}
	for index := first; index <= consensus.Index(i); index++ {
		command := make([]byte, 1+random.IntN(200))
		command[0] = byte(random.IntN(256))
		p.Entries = append(p.Entries, consensus.Entry{Index: index, Term: consensus.Term(i), Kind: consensus.EntryCommand, Command: command})
	}
	if random.IntN(3) == 0 {
		p.HardState = &consensus.HardState{Term: consensus.Term(i), Vote: consensus.MemberID{Instance: "b", Incarnation: 9}}
	}
	if random.IntN(8) == 0 && i > 4 {
		p.Snapshot = &consensus.Snapshot{Index: consensus.Index(i - 3), Term: 1, State: []byte(fmt.Sprint("state ", i))}
	}
	return p
}

// expectedStates returns the states after each save, starting with the initial state,
// on a disk that never fails.
func expectedStates(t *testing.T, seed uint64, saves int) []durable.Base {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	opened, found, err := durable.Open(newFiles(), folder)
	if err != nil || found {
		t.Fatal(found, err)
	}
	err = opened.Begin(initialState())
	states := []durable.Base{opened.State()}
	for i := 1; i <= saves && err == nil; i++ {
		err = opened.Save([]consensus.Persist{action(random, i)})
		states = append(states, opened.State())
	}
	if err != nil {
		t.Fatal(err)
	}
	return states
}

// TestPowerLossAtEveryOperation loses power at each file system operation in turn,
// and keeps, loses or tears unsynced writes at random. The recovered state must
// include every reported save and must be one that was passed to Save.
func TestPowerLossAtEveryOperation(t *testing.T) {
	const saves = 12
	for seed := range uint64(6) {
		states := expectedStates(t, seed, saves)
		for operation := 1; ; operation++ {
			files := newFiles()
			files.failAt = operation
			reported, finished := saveUntilPowerLoss(files, seed, saves)
			if finished {
				break
			}
			files.losePower(rand.New(rand.NewPCG(seed, uint64(operation))))
			checkRecovery(t, files, states, reported, fmt.Sprintf("seed %d, operation %d", seed, operation))
		}
	}
}

// saveUntilPowerLoss saves until the power fails. It returns how many saves were
// reported as stored, or -1 if the initial state was not.
func saveUntilPowerLoss(files *memoryFiles, seed uint64, saves int) (reported int, finished bool) {
	random := rand.New(rand.NewPCG(seed, 3))
	opened, _, err := durable.Open(files, folder)
	if err != nil {
		return -1, false
	}
	err = opened.Begin(initialState())
	if err != nil {
		return -1, false
	}
	for i := 1; i <= saves; i++ {
		err = opened.Save([]consensus.Persist{action(random, i)})
		if err != nil {
			return i - 1, false
		}
	}
	return saves, true
}

func checkRecovery(t *testing.T, files *memoryFiles, states []durable.Base, reported int, context string) {
	t.Helper()
	opened, found, err := durable.Open(files, folder)
	if err != nil {
		t.Fatalf("%s: %v", context, err)
	}
	if !found {
		if reported >= 0 {
			t.Fatalf("%s: no state found after %d reported saves", context, reported)
		}
		return
	}
	for i := max(reported, 0); i < len(states); i++ {
		if reflect.DeepEqual(opened.State(), states[i]) {
			checkFurtherSaves(t, files, opened, context)
			return
		}
	}
	t.Fatalf("%s: after %d reported saves the folder holds unexpected state %+v", context, reported, opened.State())
}

// checkFurtherSaves saves more in a recovered folder, and recovers it from a second
// power loss.
func checkFurtherSaves(t *testing.T, files *memoryFiles, opened *durable.Folder, context string) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	for i := range 3 {
		err := opened.Save([]consensus.Persist{action(random, 100+i)})
		if err != nil {
			t.Fatalf("%s: save after recovery: %v", context, err)
		}
	}
	files.losePower(random)
	reopened, found, err := durable.Open(files, folder)
	if err != nil || !found || !reflect.DeepEqual(reopened.State(), opened.State()) {
		t.Fatalf("%s: after further saves and a second power loss: found %v, error %v, or different state", context, found, err)
	}
}

// TestRecoveryFromFullDisk checks that saves that fail on a full disk lose nothing and
// succeed when repeated after space is free again.
func TestRecoveryFromFullDisk(t *testing.T) {
	g := gomega.NewWithT(t)
	files := newFiles()
	opened, _, err := durable.Open(files, folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(opened.Begin(initialState())).To(gomega.Succeed())
	random := rand.New(rand.NewPCG(1, 3))
	first, second := action(random, 1), action(random, 2)
	g.Expect(opened.Save([]consensus.Persist{first})).To(gomega.Succeed())
	files.full = true
	for range 3 {
		err = opened.Save([]consensus.Persist{second})
		g.Expect(errors.Is(err, errFull)).To(gomega.BeTrue())
	}
	files.full = false
	g.Expect(opened.Save([]consensus.Persist{second})).To(gomega.Succeed())
	files.losePower(rand.New(rand.NewPCG(1, 1)))
	reopened, found, err := durable.Open(files, folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(reopened.State()).To(gomega.Equal(opened.State()))
}

// TestFolderStaysBounded checks that the folder's size stays bounded over a thousand
// entries of 100 KB with regular snapshots.
func TestFolderStaysBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	files := newFiles()
	opened, _, err := durable.Open(files, folder)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(opened.Begin(initialState())).To(gomega.Succeed())
	body := make([]byte, 100<<10)
	for i := 1; i <= 1000; i++ {
		p := consensus.Persist{Entries: []consensus.Entry{{Index: consensus.Index(i), Term: 1, Kind: consensus.EntryCommand, Command: body}}}
		if i%10 == 0 {
			p.Snapshot = &consensus.Snapshot{Index: consensus.Index(i - 1), Term: 1, State: body}
		}
		g.Expect(opened.Save([]consensus.Persist{p})).To(gomega.Succeed())
		g.Expect(files.totalBytes()).To(gomega.BeNumerically("<", 32<<20))
	}
}
