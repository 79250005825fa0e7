#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs. Needs g++ alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O2 -g -Wall -Wextra -pthread -c harness/harness.cpp -o bin/harness.o
for source in */case.cpp; do
    case=${source%/case.cpp}
    g++ -std=c++20 -O2 -g -Wall -Wextra -pthread "$source" bin/harness.o -o "bin/case-$case"
done
