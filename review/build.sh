#!/bin/bash
# Builds the stand-ins of the review's cases into build-review/. Needs a C++20 compiler and nothing else. What is newer
# than its sources is not built again.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
common=(review/standins/standins.hpp review/standins/standins.cpp)
for source in review/[0-9]/case.cpp review/further/*.cpp; do
    case $source in
        */case.cpp) program=build-review/case-$(basename "$(dirname "$source")") ;;
        *) program=build-review/$(basename "$source" .cpp) ;;
    esac
    newer=$(find "${common[@]}" "$source" -newer "$program" 2>/dev/null || echo missing)
    [[ -x $program && -z $newer ]] && continue
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins "$source" review/standins/standins.cpp \
        -o "$program.new.$$"
    mv "$program.new.$$" "$program"
done
