#!/bin/bash
# run-case.sh CASE FOLDER: plays one case of the stand-ins with the commands of the deploy file and writes FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case=$1
out=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
command_of() { sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"$/\1/p" deploy/system.toml; }
program=target/review/release/review-stand-ins
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 112 "$program" "$case" "$folder" "$out/record.txt" "$(command_of hive)" "$(command_of forager)"
code=$?
# a program that ran to its end has ended all processes that it started
if [ "$code" -gt 2 ]; then
    [ -f "$folder/pids" ] && xargs kill -KILL < "$folder/pids" 2> /dev/null
    code=2
fi
exit "$code"
