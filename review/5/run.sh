#!/bin/sh
# Plays case 5. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the resets.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-5 ] || exit 2
exec target/review-5
