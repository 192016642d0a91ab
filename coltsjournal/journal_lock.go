package coltsjournal

// The lock is the kernel's, so that it falls when the process dies however it
// dies and no stale lock file has to be removed by hand.

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// lockName is the file that is locked.
const lockName = "lock"

func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o640)
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
