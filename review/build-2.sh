#!/usr/bin/env bash
# Builds the cases 6 to 10 and their stand-ins of the store, the endpoints and the clients into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compiler=${CXX:-g++}
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
"$compiler" "${flags[@]}" -c review/rig-2/rig.cpp -o target/review-2/rig.o
for source in review/{6,7,8,9,10}/main.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    "$compiler" "${flags[@]}" "$source" target/review-2/rig.o -o "target/review-2/case-$name"
done
