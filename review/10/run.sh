#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
exec bash "$(dirname "$0")/../run-2.sh" 10
