#!/bin/sh
# Builds the stand-ins of the scripts.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/_bin/stand ./review/_stand
