# Sourced by examples/run.sh: what the callers of this deployment send.
say "A status lookup, at each entry"
for i in 1 2 3; do request "$i" GET /status/7; done
say "A fee, and the same fee sent again to another entry: it runs once, and the first answer is given again"
request 1 POST /fees/2026-17 fee-2026-17 "12000 NGN"
request 2 POST /fees/2026-17 fee-2026-17 "12000 NGN"
say "The same key with another amount: refused"
request 3 POST /fees/2026-17 fee-2026-17 "99000 NGN"
say "A ticket without a key: refused, since it must not be filed twice"
request 1 POST /tickets "" "a defect"
say "A build of 2 MB"
request 2 GET "/builds/41?bytes=2000000"
