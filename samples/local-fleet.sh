#!/usr/bin/env bash
# Runs a fleet of separate processes on loopback until it is interrupted: the platform's stand-in, two engines, one
# service and three routers. Writes settings, token and logs into the folder given as first argument.
set -euo pipefail
folder=${1:?usage: samples/local-fleet.sh FOLDER}
binary=$(cd "$(dirname "$0")/.." && pwd)/target/azuredale
mkdir -p "$folder"
cd "$folder"
trap 'kill $(jobs -p) 2>/dev/null || true; wait' EXIT

echo "operator-token-for-the-sample" > token
"$binary" stand-in platform --port 7100 > platform.log 2>&1 &
"$binary" stand-in engine --port 7201 --tokens-per-second 50 > engine-1.log 2>&1 &
"$binary" stand-in engine --port 7202 --tokens-per-second 200 > engine-2.log 2>&1 &
"$binary" stand-in service --port 7301 > service.log 2>&1 &
for number in 1 2 3; do
  cat > "router-$number.ini" <<INI
[router]
name = router-$number
region = south
failure-domain = south-$number

[addresses]
caller = 127.0.0.1:74${number}1
operator = 127.0.0.1:74${number}2
peer = 127.0.0.1:74${number}3
probe = 127.0.0.1:74${number}4

[platform]
key-value-service = 127.0.0.1:7100

[membership]
seeds = 127.0.0.1:7414, 127.0.0.1:7424, 127.0.0.1:7434

[secrets]
fleet-key = fleet-key-for-the-sample
operator-token-file = $PWD/token
INI
  "$binary" router --settings "router-$number.ini" > "router-$number.log" 2>&1 &
done
cat > document.ini <<INI
[failure-domain south-1]
region = south
[failure-domain south-2]
region = south
[failure-domain south-3]
region = south

[pool models]
kind = model
initial-cost = 60
[pool lockers]
kind = service

[model-version small@1]

[server engine-1]
pool = models
address = 127.0.0.1:7201
failure-domain = south-1
slots = 4
batch = blue
model-versions = small@1
[server engine-2]
pool = models
address = 127.0.0.1:7202
failure-domain = south-2
slots = 4
batch = green
model-versions = small@1
[server lockers-1]
pool = lockers
address = 127.0.0.1:7301
failure-domain = south-3
slots = 4

[team counter]
share = 2
pools = models, lockers
[team kiosk]
share = 1
pools = models, lockers
INI
echo "fleet started in $folder; interrupt to stop"
wait
