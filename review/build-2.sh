#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 that are scripts.
set -e
cd "$(dirname "$0")/standins"
mkdir -p ../../target
go build -o ../../target/standins .
