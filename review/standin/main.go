package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held      = 0 // the rule held
	broken    = 1
	couldNot  = 2
	startTime = 20 * time.Second // for the deployment to become ready
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(e *environment) int{
	"late-delete":    lateDelete,
	"first-start":    firstStart,
	"odd-entry":      oddEntry,
	"missing-fields": missingFields,
	"copied-entry":   copiedEntry,
}

// environment is what a case runs in.
type environment struct {
	record  *record
	root    string // of the repository
	folder  string // temporary
	trouble bool   // false if the disruption is left out
}

// fail records that the case could not run.
func (e *environment) fail(format string, args ...any) int {
	e.record.say("the case could not run: "+format, args...)
	return couldNot
}

func main() { os.Exit(run()) }

// run runs the case that the first argument names; the second one is the folder of the case, and
// the third the root of the repository.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER ROOT")
		return couldNot
	}
	root, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "standin-")
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	e := &environment{
		record: &record{file: bufio.NewWriter(file), started: time.Now()}, root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0",
	}
	e.record.say("case %s, trouble %t", os.Args[1], e.trouble)
	code := cases[os.Args[1]](e)
	e.record.say("exit code %d", code)
	return code
}

// await calls check until it returns true or the time is over.
func await(limit time.Duration, check func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return false
}
