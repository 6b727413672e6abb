#!/bin/sh
# Builds what the cases 11 to 15 start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/_bin
go build -o review/_bin/stand3 ./review/_stand3
