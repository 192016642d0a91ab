package coltsprocess

// Guards against a request to reload the settings that ends a process which has just been started.

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEarlyReload(t *testing.T) {
	t.Run("a SIGHUP while the settings are read does not end the process", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "settings.jsonc")
		assert.NilError(t, syscall.Mkfifo(file, 0o600))
		p := startProcess(t, "coltsfootstall", "control", "--settings", file)
		// The process waits for the text once it has opened the file, which lets this call return.
		w, err := os.OpenFile(file, os.O_WRONLY, 0)
		assert.NilError(t, err)
		assert.NilError(t, p.cmd.Process.Signal(syscall.SIGHUP))
		_, err = fmt.Fprintf(w, `{"instance": "control-1", "data-centre": "z", "log-json": true, "control": {
			"address": "127.0.0.1:0", "operator-address": "127.0.0.1:0", "data-folder": %q}}`, t.TempDir())
		assert.NilError(t, err)
		assert.NilError(t, w.Close())
		p.awaitAddr(t, "operators")
	})
}
