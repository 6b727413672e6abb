#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/_bin.
set -eu
cd "$(dirname "$0")/.."
go build -o review/_bin/stand2 ./review/_stand2
