// Command standin2 runs the scripts of the second review: it starts the project's processes with the
// commands of the deploy file, on loopback addresses, beside stand-ins of the platform, clients,
// servers and the operator. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// outcome is the result of a case.
type outcome int

const (
	held       outcome = 0
	broken     outcome = 1
	notRunning outcome = 2
)

// maxTime ends a case that hangs.
const maxTime = 110 * time.Second

var cases = map[string]func(r *record, trouble bool) (outcome, string){
	"evacuated-pool": evacuatedPool,
	"no-routes":      noRoutes,
	"unreadable":     unreadable,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(int(notRunning))
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRunning))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble: %t", os.Args[1], trouble)
	time.AfterFunc(maxTime, func() {
		r.printf("result 2: the case took too long")
		os.Exit(int(notRunning)) // the processes end with this one
	})
	result, text := cases[os.Args[1]](r, trouble)
	r.printf("result %d: %s", result, text)
	fmt.Println(text)
	os.Exit(int(result))
}
