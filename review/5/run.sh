#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/case_5 review/5
