#!/bin/sh
# Builds the stand-ins of the review's cases 6 to 10, from any folder. The nodes are built by the deploy file's build.
cd "$(dirname "$0")/.." && mkdir -p review/bin && go build -o review/bin/rig ./review/rig
