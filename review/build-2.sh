#!/bin/bash
# Builds what the scripts of the second review (review/6 to review/10) start beside the program: the project's
# own stand-ins and the programs of review/standins-2. Needs no network. To be run after the build of the deploy
# file; everything goes to build-review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
cmake -S . -B $out -DCMAKE_BUILD_TYPE=Release -DSLATEJUNCTION_FAKES=ON >/dev/null
cmake --build $out -j"$(nproc)" --target slatejunction_fakes >/dev/null
mkdir -p $out/cases
for source in review/standins-2/case-*.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2 "$source" -o "$out/cases/$name"
done
echo "built in $out"
