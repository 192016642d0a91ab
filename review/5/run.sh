#!/bin/sh
here="$(cd "$(dirname "$0")" && pwd)"
# The descriptors of a front machine.
ulimit -n 4100 || exit 2
exec "$here/../run_case.sh" releases "$here"
