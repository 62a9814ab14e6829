#!/bin/sh
# Lays the bench's own files beside the site files: names on sockets, wire, and the kinds of trouble that are open. Of several folders
# the first one that holds a file gives it. Nothing is laid unless all three are there.
set -eu
if [ $# -eq 0 ]; then
	echo "usage: $0 FOLDER..." >&2
	exit 2
fi
here=$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd)

holder() { # FILE FOLDER...: the first folder that holds the file
	file=$1
	shift
	for folder; do
		if [ -f "$folder/$file" ]; then
			printf '%s\n' "$folder"
			return
		fi
	done
	echo "$0: $file: in none of: $*" >&2
	return 1
}

for file in real.json wire.json unlock.txt; do
	holder "$file" "$@" >/dev/null
done
for file in real.json wire.json unlock.txt; do
	from=$(holder "$file" "$@")
	if ! problem=$({ cp -f -- "$from/$file" "$here/$file" && chmod u+w -- "$here/$file"; } 2>&1); then
		echo "$0: $file: $(printf '%s' "$problem" | tr '\n' ' ')" >&2
		exit 1
	fi
done
