package coltsjournal

// The lock is an advisory lock of the kernel (flock). The kernel releases it when
// the process ends for any reason, so a stale lock never has to be removed by hand.

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// lockFileName is the name of the lock file.
const lockFileName = "lock"

// lockDir locks a directory and returns the open lock file; closing it releases
// the lock. It returns a LockedError if the directory is already locked.
func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	if closeErr := f.Close(); closeErr != nil {
		return nil, errors.Wrap(closeErr, "close lock file")
	}
	return nil, &LockedError{Dir: dir}
}
