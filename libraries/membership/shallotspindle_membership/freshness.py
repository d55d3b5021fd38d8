"""Whether this instance would know of a withdrawn key.

Ages are those of the heard item itself: relayed ages are added up and the time under
way is added, so that no chain of heartbeats makes old knowledge look recent.
"""

from collections.abc import Iterable

from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_membership import heartbeats
from shallotspindle_membership.heartbeats import AGE_STEP_SECONDS, NEVER, Heartbeat

FRESH_SECONDS = 4.0
# Ages above this are not sent, since nobody can use them.
SENT_AGE_SECONDS = 8.0


class Horizon:
    """When the store and each failure domain were last heard.

    :param own: failure domain of this instance; it is always heard.
    :param domains: further domains that are known to exist.
    """

    def __init__(self, own: FailureDomain, domains: Iterable[FailureDomain]) -> None:
        self._own = heartbeats.hash_domain(own)
        self._domains = {self._own, *map(heartbeats.hash_domain, domains)}
        self._heard: dict[int, float] = {}
        self._complete = False
        self.store_heard = float("-inf")

    def add_domains(self, domains: Iterable[FailureDomain]) -> None:
        """Count the domains of the platform's list.

        Domains are never forgotten, because a list cut off from the other regions may
        name a minority only.
        """
        self._complete = True
        self._domains.update(map(heartbeats.hash_domain, domains))

    def note_store(self, heard_at: float) -> None:
        """Count an answer of the store.

        :param heard_at: when the call began, in seconds.
        """
        self.store_heard = max(self.store_heard, heard_at)

    def note_beat(self, beat: Heartbeat, domain: FailureDomain, sent_at: float) -> None:
        """Count what a heartbeat tells.

        :param domain: the sender's failure domain.
        :param sent_at: earliest time at which it was sent, in seconds.
        """
        self._note_domain(heartbeats.hash_domain(domain), sent_at)
        for number, age in beat.ages:
            if age >= 0:
                self._note_domain(number, sent_at - age * AGE_STEP_SECONDS)
        if beat.store_age >= 0:
            self.note_store(sent_at - beat.store_age * AGE_STEP_SECONDS)

    def _note_domain(self, number: int, heard_at: float) -> None:
        # Domains that nobody listed do not count, which also bounds the table.
        if number in self._domains:
            self._heard[number] = max(self._heard.get(number, heard_at), heard_at)

    def measure_store_age(self, now: float) -> int:
        """Return the age for a heartbeat, in steps."""
        age = now - self.store_heard
        return self._round_up(age) if age <= SENT_AGE_SECONDS else NEVER

    def measure_ages(self, now: float) -> tuple[tuple[int, int], ...]:
        """Return the ages of other failure domains for a heartbeat."""
        return tuple(
            (number, self._round_up(now - heard_at))
            for number, heard_at in sorted(self._heard.items())
            if number != self._own and now - heard_at <= SENT_AGE_SECONDS
        )

    @staticmethod
    def _round_up(age: float) -> int:
        return int(max(0.0, age) / AGE_STEP_SECONDS) + 1

    def is_fresh(self, now: float) -> bool:
        """Return whether the store or the majority of the domains were heard."""
        if now - self.store_heard <= FRESH_SECONDS:
            return True
        return self._complete and self._count_heard(now) * 2 > len(self._domains)

    def _count_heard(self, now: float) -> int:
        recent = {
            number
            for number, heard_at in self._heard.items()
            if now - heard_at <= FRESH_SECONDS
        }
        return len(recent | {self._own})
