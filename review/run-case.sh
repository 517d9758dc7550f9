#!/bin/bash
# run-case.sh NUMBER: runs that case against the program that the deploy file starts, for 120 s at most. Exit status:
# 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
number=$1
command=$(sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' deploy/balancer.toml)
[[ -n $command ]] || { echo "deploy/balancer.toml names no run command"; exit 2; }
[[ -x build/slatejunction ]] || { echo "build/slatejunction is missing: build first, as the deploy file says"; exit 2; }
bash review/build.sh || exit 2
timeout -k 2 115 "build-review/case-$number" "$command" "review/$number/record.txt"
status=$?
((status <= 2)) || { echo "the case ended with status $status"; status=2; }
exit $status
