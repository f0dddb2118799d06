#!/bin/sh
# Builds the stand-ins and the scenarios of cases 6 to 10; run it after the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=$(ls review/stand-ins-2/*.java)
[ -d review/seen-2 ] && sources="$sources $(ls review/seen-2/*.java)"
for number in 6 7 8 9 10; do
    for source in review/"$number"/*.java; do
        [ -e "$source" ] && sources="$sources $source"
    done
done
# shellcheck disable=SC2086
javac -nowarn -proc:none -d target/review-2 -cp 'target/calicostream.jar:target/lib/*' $sources
