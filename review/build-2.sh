#!/bin/bash
# Builds what the scripts of the cases 4 to 8 start. The gateway is built by the deploy file's command.
# Their stand-ins are Python with its standard library only: they are compiled once here, to show that
# they can run.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "Python 3.9 or later is needed"; exit 1; }
for file in stand_ins_2.py endless_servers_2.py [4-8]/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
