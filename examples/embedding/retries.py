"""Decides whether and after which delay a failed request may be sent again."""

import random

from shallotspindle_retries import backoff, eligibility
from shallotspindle_retries.budget import RetryBudget

budget = RetryBudget()
for _ in range(100):
    budget.count_request(now=0.0)
reset_attempt = eligibility.Attempt(is_connected=True, status=None)
print("idempotent:", eligibility.may_retry(reset_attempt, is_idempotent=True))
print("booking:", eligibility.may_retry(reset_attempt, is_idempotent=False))
print("in the budget:", budget.take_retry(now=0.0))
delay = backoff.compute_delay(1, now=0.0, deadline=5.0, random=random.Random(1))
print("wait below 20 ms:", delay < 0.02)
