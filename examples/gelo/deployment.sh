# Sourced by examples/run.sh.
network=127.0.11
centres=(lisboa-a lisboa-b lisboa-c)
start_targets ice --first-address 127.0.11.101:8001 --control-address 127.0.11.101:8000 --count 18 --slots 6 --connections 260 --work 5ms --connect-cost 1ms --probe-cost 6ms
start_targets chart --first-address 127.0.11.102:8001 --control-address 127.0.11.102:8000 --count 10 --slots 6 --connections 260 --work 15ms --connect-cost 1ms --probe-cost 6ms
start_targets package --first-address 127.0.11.103:8001 --control-address 127.0.11.103:8000 --count 6 --slots 6 --connections 260 --work 20ms --connect-cost 1ms --probe-cost 6ms
start_targets route --first-address 127.0.11.104:8001 --control-address 127.0.11.104:8000 --count 6 --slots 6 --connections 260 --work 10ms --connect-cost 1ms --probe-cost 6ms
