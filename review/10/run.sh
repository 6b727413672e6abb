#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azurestair ] && [ -x review/_bin/stand2 ] || exit 2
timeout -k 2 117 review/_bin/stand2 lines review/10/record.txt
status=$?
[ $status -eq 0 ] || [ $status -eq 1 ] || exit 2
exit $status
