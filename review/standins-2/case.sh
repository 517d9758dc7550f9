# What the scripts of review/6 to review/10 have in common; to be sourced. Sets:
#   root     the repository      fakes    the project's stand-ins      cases    the programs of this folder
#   RUN      `run` of the deploy file, which starts the program
#   FOLDER   a temporary folder, removed at the end
#   RECORD   record.txt of the case
#   port     the first of 40 loopback ports in a row that are free
# Every process that is started with `begin` is ended with the script, by its id.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
fakes=$root/build-review-2/fakes/slatejunction_fakes
cases=$root/build-review-2/cases
[ -x build/slatejunction ] && [ -x "$fakes" ] || { echo "not built: the deploy file's build, then review/build-2.sh"; exit 2; }
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
FOLDER=$(mktemp -d)
RECORD=$here/record.txt
TROUBLE=${TROUBLE:-1}
export RUN FOLDER RECORD TROUBLE
: >"$RECORD"
pids=()
cleanup() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$FOLDER"
}
trap cleanup EXIT
note() { echo "$(date +%H:%M:%S.%3N) $*" >>"$RECORD"; }

# Starts a command in the background; its id is in $begun.
begin() {
    "$@" &
    begun=$!
    pids+=("$begun")
}
# The same for the program, by the deploy file's command: begin_ingress LOG ARGUMENTS...
begin_ingress() {
    local log=$1
    shift
    /bin/sh -c "$RUN $*" >>"$log" 2>&1 &
    begun=$!
    pids+=("$begun")
}
busy() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
free_ports() {
    local first i
    for first in $(shuf -i 20000-31000 -n 50); do
        for ((i = 0; i < 40; ++i)); do busy $((first + i)) && continue 2; done
        port=$first
        return
    done
    exit 2
}
at() { echo "127.0.0.1:$((port + $1))"; }
# await SECONDS COMMAND...
await() {
    local tries=$(($1 * 20))
    shift
    while ((tries-- > 0)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    return 1
}
# GET of /health/ready: 0 for 200.
ready() {
    local line=
    exec 4<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf 'GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&4
    read -r line <&4
    exec 4>&- 4<&-
    [[ $line == *" 200 "* ]]
}
