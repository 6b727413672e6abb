#!/bin/sh
# Plays the case. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -x review/_bin/stand ] && [ -x target/azurestair ] || { echo "build the system and review/build.sh first" >&2; exit 2; }
exec timeout -k 5 115 review/_bin/stand -case length -root "$root" -record "$here/record.txt" -controls 3 -entries 1
