"""What the upstreams said of themselves in their responses to this instance.

It binds this instance whatever the store, a lender or a status check says. The first
response in which an upstream says that it leaves is reported to other instances, so
that its lender grants no more of its slots.
"""

from collections.abc import Collection

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import ServiceName, UpstreamName
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.log_limiter import LogLimiter
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_lending.records import UpstreamLeaving
from shallotspindle_notices.notices import Notice, Obstacle, UpstreamNotices
from shallotspindle_registry.records import Incarnation

MALFORMED_LOG_INTERVAL_SECONDS = 10.0


class NoticeRecorder:
    """Owns the notices of all upstreams."""

    def __init__(
        self, follower: StoreFollower, peers: PeerTransport, clock: Clock
    ) -> None:
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._notices = UpstreamNotices()
        self._log_limiter = LogLimiter(clock)

    @property
    def counts(self) -> dict[str, int]:
        """Number of notices by kind."""
        return dict(self._notices.counts)

    def record(self, upstream: Incarnation, notice: Notice) -> None:
        """Record what a response said of its upstream."""
        is_news = self._notices.record(upstream, notice, self._clock.boottime())
        if notice.is_malformed:
            logging.log_every_n_seconds(
                logging.WARNING,
                "upstream %s sent a malformed notice",
                MALFORMED_LOG_INTERVAL_SECONDS,
                upstream[0],
            )
        if notice.pause_seconds and self._log_limiter.take_line():
            logging.info(
                "upstream %s wants no requests for %.2f s",
                upstream[0],
                notice.pause_seconds,
            )
        if is_news:
            logging.info("upstream %s says that it leaves", upstream[0])
            self._report_leaving(upstream)

    def _report_leaving(self, upstream: Incarnation) -> None:
        """Tell the instances that may lend the slots of an upstream."""
        known = self._follower.upstreams.find(upstream[0])
        domain = known.announcement.domain if known else None
        message = UpstreamLeaving(*upstream)
        members = self._follower.members.values()
        local = {m.address for m in members if domain in (None, m.domain)}
        for address in (local or {m.address for m in members}) | {self._peers.address}:
            self._peers.send(address, message)

    def find_obstacle(self, name: UpstreamName) -> Obstacle | None:
        """Return why an upstream must not get a request from this instance, or None."""
        upstreams = self._follower.upstreams
        if upstreams.has_left(name):
            return Obstacle.LEAVING
        incarnation = upstreams.get_incarnation(name)
        return self._notices.find_obstacle(incarnation, self._clock.boottime())

    def list_obstacles(self, service: ServiceName) -> dict[UpstreamName, Obstacle]:
        """Return the announced upstreams of a service that must not get a request."""
        if self._notices.is_empty:
            return {}
        now = self._clock.boottime()
        usable = self._follower.upstreams.list_usable(service)
        found = {
            name: self._notices.find_obstacle(known.announcement.incarnation, now)
            for name, known in usable.items()
        }
        return {name: obstacle for name, obstacle in found.items() if obstacle}

    def compute_wait(
        self, service: ServiceName, excluded: Collection[UpstreamName]
    ) -> float:
        """Return the seconds until the first upstream of a service may get a request.

        :param excluded: upstreams that do not count.
        :returns: 0 if one may get it now, or if none will.
        """
        if self._notices.is_empty:
            return 0.0
        now = self._clock.boottime()
        usable = self._follower.upstreams.list_usable(service)
        waits = [
            self._notices.compute_wait(known.announcement.incarnation, now)
            for name, known in usable.items()
            if name not in excluded
        ]
        shortest = min(waits, default=0.0)
        return 0.0 if shortest == float("inf") else shortest
