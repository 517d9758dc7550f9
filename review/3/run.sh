#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../run-case.sh" "$(basename "$folder")"
