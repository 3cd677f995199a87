# Sourced by examples/run.sh: what the callers of this deployment send.
say "The ice edge, at each entry"
for i in 1 2 3; do request "$i" GET /ice-edge/fram-strait; done
say "A chart order, and the same order sent again to another entry: it runs once"
request 1 POST /orders/8812 order-8812 "chart 1290"
request 3 POST /orders/8812 order-8812 "chart 1290"
say "A route notice without a key: refused, since it must not be registered twice"
request 2 POST /routes "" "MV Aurora"
say "A seasonal package of 2 MB"
request 1 GET "/packages/2026?bytes=2000000"
