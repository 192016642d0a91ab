#!/bin/sh
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run_case.sh" restart-all "$here"
