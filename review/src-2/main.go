package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const maxDuration = 115 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// cases returns what each case does. It reports whether the rule was broken.
var cases = map[string]func(w *world) bool{
	"restored-config": restoredConfiguration,
	"server-leaving":  serverLeaving,
	"crash-expiry":    crashExpiry,
	"slow-reader":     slowReader,
	"crash-upload":    crashUpload,
	"crash-abandoned": crashAbandoned,
}

func main() {
	os.Exit(runCase())
}

func runCase() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcases CASE ROOT FOLDER")
		return exitNoRun
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer func() { _ = file.Close() }()
	w, err := newWorld(os.Args[2], file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxDuration):
		}
		w.logf("the case was stopped before its end")
		w.close()
		os.Exit(exitNoRun)
	}()
	defer w.close()
	defer func() {
		if p := recover(); p != nil {
			failure, ok := p.(couldNotRun)
			if !ok {
				panic(p)
			}
			w.logf("the case could not run: %v", failure.err)
			fmt.Fprintln(os.Stderr, failure.err)
			code = exitNoRun
		}
	}()
	if cases[os.Args[1]](w) {
		w.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
