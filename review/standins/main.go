// Command standins plays the scripted cases of the second review. It starts the processes
// of the system with the commands of the deploy file, on loopback addresses, and stands in
// for platform, clients, backends and operator.
package main

import (
	"fmt"
	"os"
)

// main runs the case whose name is the first argument and writes the record to the file
// named by the second. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run.
func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(record string, trouble bool) (broken int, err error){
		"late-answer":   lateAnswer,
		"odd-heartbeat": oddHeartbeat,
		"late-leave":    lateLeave,
		"newcomer-lost": newcomerLost,
	}
	play := cases[os.Args[1]]
	if play == nil {
		os.Exit(2)
	}
	broken, err := play(os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("can't run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Println("rule broken:", broken)
		os.Exit(1)
	}
	fmt.Println("rule held")
}
