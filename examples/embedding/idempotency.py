"""Claims an idempotency key twice: only the first claim is granted.

The response to the second names the instance that runs the request.
"""

from shallotspindle_core.identifiers import Instance
from shallotspindle_idempotency import ledger as ledgers
from shallotspindle_idempotency.messages import ClaimRequest

ledger = ledgers.ClaimLedger()
key = ledgers.digest_idempotency_key("museum", "deposit-1")
first = Instance("1" * 32, "10.0.0.1:7000", "a")
second = Instance("2" * 32, "10.0.0.2:7000", "b")
for requester, attempt in ((first, 1), (second, 2)):
    claim = ClaimRequest(
        partition=0, key_digest=key, request_digest=b"digest", attempt_id=attempt
    )
    print(type(ledger.claim(claim, requester, now=0.0)).__name__)
