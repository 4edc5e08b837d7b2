#!/bin/bash
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" late-taken "$here"
