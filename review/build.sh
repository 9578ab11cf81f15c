#!/usr/bin/env bash
# Builds the stand-ins of clients, backends, routers and operators that the scripts start.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
go build -o ../target/review-standin .
