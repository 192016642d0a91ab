#!/bin/sh
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run_case.sh" replaced-machine "$here"
