// Package serial keeps the tests of different packages that start whole fleets
// from running at the same time, so that none of them disturbs the timing of
// another.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(serial.Run(m.Run)) }
package serial

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Run runs f while no other process does, and returns its result.
func Run(f func() int) int {
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "tanagerchute-tests.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer file.Close()
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return f()
}
