// Command platform runs the cases of the review: it starts the project's hosts as separate processes and
// plays the platform around them. The first argument names the case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// current is the deployment to stop when the run ends.
var current *deployment

func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	finish(exitFailed)
}

// finish ends all processes and exits.
func finish(code int) {
	if current != nil {
		current.stop()
		current.rec.write(filepath.Join(recordDir, "record.txt"))
		if os.Getenv("KEEP_LOGS") == "" {
			os.RemoveAll(current.dir)
		} else {
			fmt.Println("logs:", current.dir)
		}
	}
	os.Exit(code)
}

var recordDir string

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: review-stand-ins CASE ROOT RECORD_DIR")
		os.Exit(exitFailed)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		cannotRun("%v", err)
	}
	recordDir = os.Args[3]
	if _, err := os.Stat(filepath.Join(root, "target/sapphirehaven")); err != nil {
		cannotRun("the program is not built: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		finish(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(root, dir string, trouble bool) int{
		"endless-length": endlessLength,
		"lost-removal":   lostRemoval,
		"lost-drain":     lostDrain,
	}
	run := cases[os.Args[1]]
	if run == nil {
		cannotRun("unknown case %q", os.Args[1])
	}
	finish(run(root, dir, trouble))
}
