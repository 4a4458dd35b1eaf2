// Package serial serializes the tests of packages that start whole fleets. The go
// command runs the tests of several packages at the same time, and fleets that
// run side by side would distort each other's timing.
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

// Run calls f while holding an exclusive file lock, and returns its result. Other
// processes that call Run wait until the lock is released.
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
