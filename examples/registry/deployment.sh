# Sourced by examples/run.sh.
network=127.0.10
centres=(ikeja lekki ibadan)
start_targets status --first-address 127.0.10.101:8001 --control-address 127.0.10.101:8000 --count 14 --slots 3 --connections 220 --work 5ms --connect-cost 1ms --probe-cost 1ms
start_targets fee --first-address 127.0.10.102:8001 --control-address 127.0.10.102:8000 --count 7 --slots 3 --connections 220 --work 10ms --connect-cost 1ms --probe-cost 1ms
start_targets build --first-address 127.0.10.103:8001 --control-address 127.0.10.103:8000 --count 6 --slots 3 --connections 220 --work 20ms --connect-cost 1ms --probe-cost 1ms
start_targets ticket --first-address 127.0.10.104:8001 --control-address 127.0.10.104:8000 --count 6 --slots 3 --connections 220 --work 10ms --connect-cost 1ms --probe-cost 1ms
