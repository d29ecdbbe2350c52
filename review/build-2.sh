#!/bin/sh
# Builds the programs of the cases 6 to 10, with all their stand-ins, in
# target/review-2/. The cases run the daemon that the build of the deploy file
# has put into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/*.cpp; do
  case "$source" in
    */case.cpp) continue ;;
  esac
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-2/$(basename "$source" .cpp)"
done
