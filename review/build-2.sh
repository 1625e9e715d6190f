#!/bin/sh
# Builds what the scripts of review/4 to review/6 start besides the build of deploy/system.toml: nothing, since their stand-ins are
# plain modules of Node.js that need no build.
exit 0
