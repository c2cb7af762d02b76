#!/bin/sh
# See claim.txt. TROUBLE=0 plays the same without the disruption.
exec python3 "$(dirname "$0")/case.py"
