#!/usr/bin/env bash
# Builds the stand-ins and the program of each case that has one, into
# target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Ireview/common)
objects=()
pids=()
for source in review/common/*.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -pthread -o "$out/case_$name"
done
