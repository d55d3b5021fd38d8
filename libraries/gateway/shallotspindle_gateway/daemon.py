"""Builds the tasks of a gateway and runs them until its graceful shutdown ends."""

import asyncio
import random
import secrets
import signal
import socket
from collections.abc import Callable
from dataclasses import replace

import aiomisc
from absl import logging
from expression import Result

from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure
from shallotspindle_entry.caller_account import CallerAccount
from shallotspindle_entry.lifecycle import Lifecycle, Stage
from shallotspindle_environment.reloads import EarlyReloads
from shallotspindle_gateway import messages
from shallotspindle_gateway.admission import Admission
from shallotspindle_gateway.crash_recording import CrashRecorder
from shallotspindle_gateway.execution import Executor
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.forwarding import Forwarder
from shallotspindle_gateway.frontend import Frontend, ProbeServer
from shallotspindle_gateway.ownership import PartitionOwnership
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_gateway.pipeline import Pipeline
from shallotspindle_gateway.records import Endpoint, Member, Settings
from shallotspindle_gateway.renewals import PeerRenewals
from shallotspindle_gateway.reporting import LineStream, Reporter, StandardOutput
from shallotspindle_gateway.slot_lender import SlotLender
from shallotspindle_gateway.slot_requester import SlotRequester
from shallotspindle_gateway.stopping import StopPlan
from shallotspindle_gateway.storage import Decoder, Store
from shallotspindle_gateway.upstream_notices import NoticeRecorder
from shallotspindle_telemetry.unexpected import UnexpectedErrors

LISTEN_BACKLOG = 1024


def create_listener(endpoint: Endpoint) -> socket.socket:
    """Return a listening TCP socket; port 0 lets the kernel choose a port."""
    return socket.create_server((endpoint.host, endpoint.port), backlog=LISTEN_BACKLOG)


def create_datagram_socket(endpoint: Endpoint) -> socket.socket:
    """Return a bound UDP socket; port 0 lets the kernel choose a port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind((endpoint.host, endpoint.port))
    return listener


Reload = Callable[[], Result[Settings, Failure]]


class Daemon:
    """One gateway: its tasks and the order in which it stops.

    :param store: the platform's store.
    :param decoder: reads the documents in the store.
    :param reload: reads the settings again; None if they cannot change.
    :param early_reloads: reload signals from before the daemon handles them itself.
    :param request_lines: takes a line for each request; None for standard output.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        decoder: Decoder,
        clock: Clock,
        reload: Reload | None = None,
        early_reloads: EarlyReloads | None = None,
        request_lines: LineStream | None = None,
    ) -> None:
        self._settings = settings
        self._reload = reload
        self._early_reloads = early_reloads or EarlyReloads()
        self._clock = clock
        random_source = random.SystemRandom()
        self.errors = UnexpectedErrors()
        self._lifecycle = Lifecycle()
        self._callers = create_listener(settings.callers)
        self._callers_port = self._callers.getsockname()[1]
        readiness = create_listener(settings.readiness)
        metrics = create_listener(settings.metrics)
        self.peers = PeerTransport(
            create_datagram_socket(settings.peers),
            messages.MESSAGE_TYPES,
            random_source,
            self.errors,
        )
        own_instance = Member(self.peers.address, settings.domain, settings.capacity)
        self.follower = StoreFollower(
            own_instance, store, decoder, self.peers, clock, self.errors
        )
        renewals = PeerRenewals(store, self.follower, self.peers, random_source)
        self.ownership = PartitionOwnership(
            own_instance,
            secrets.token_hex(8),
            store,
            self.follower,
            renewals,
            clock,
            self.errors,
        )
        crashes = CrashRecorder(
            own_instance, store, self.follower, self.peers, clock, self.errors
        )
        self._lender = SlotLender(
            own_instance,
            self.follower,
            self.peers,
            settings.bounds,
            clock,
            random_source,
            crashes,
            self.errors,
        )
        self.notices = NoticeRecorder(self.follower, self.peers, clock)
        slot_requester = SlotRequester(
            own_instance,
            self.follower,
            self.peers,
            clock,
            random_source,
            self.notices,
            crashes.tracker,
        )
        forwarder = Forwarder(
            settings.headers,
            clock,
            settings.response_limits,
            self.errors,
            self.notices.record,
        )
        self._admission = Admission(
            self.follower, self.ownership, self.peers, clock, settings.bounds
        )
        self._pipeline = Pipeline(
            settings,
            self.follower,
            self._admission,
            Executor(slot_requester, forwarder, clock),
            clock,
            random_source,
        )
        buffered = forwarder.response_memory
        account = CallerAccount(
            settings.memory_limits, clock, lambda: buffered.used_bytes
        )
        buffered.watch(account.enforce)
        reporter = Reporter(
            settings.name,
            self.follower,
            clock,
            self.errors,
            self.notices,
            self._lender.cold_limits,
            account,
            request_lines or StandardOutput(),
            self._lender.measure_cost_ratios,
        )
        self._frontend = Frontend(
            settings,
            self._pipeline,
            self._lifecycle,
            reporter,
            clock,
            self._callers,
            buffered,
            account,
        )
        probe_server = ProbeServer(
            settings.readiness_path,
            (readiness, metrics),
            self.is_ready,
            reporter,
        )
        self.services = [
            self.peers,
            self.follower,
            self.ownership,
            crashes,
            self._lender,
            forwarder,
            self._frontend,
            probe_server,
        ]

    @property
    def callers_port(self) -> int:
        """Port for callers."""
        return self._callers_port

    def is_ready(self) -> bool:
        """Return whether the load balancer should send connections."""
        if self._lifecycle.stage is not Stage.RUNNING:
            return False
        if self.follower.configuration.bundle.version == 0:
            return False
        return self._pipeline.is_fresh()

    async def run(self) -> None:
        """Run until a signal requests the graceful shutdown, then stop."""
        stopped = asyncio.Event()
        async with aiomisc.entrypoint(*self.services, log_config=False):
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, stopped.set)
            loop.add_signal_handler(signal.SIGHUP, self.reload)
            logging.info(
                "%s started, peer address %s", self._settings.name, self.peers.address
            )
            self.apply_early_reload()
            await stopped.wait()
            await self.stop()

    def apply_early_reload(self) -> None:
        """Reload the settings if a reload signal arrived during the start."""
        if self._early_reloads.consume():
            self.reload()

    def reload(self) -> None:
        """Read the settings again and apply the bounds; addresses stay as they are."""
        if self._reload is None:
            logging.info("reload: the settings of this process cannot change")
            return
        match self._reload():
            case Result(tag="ok", ok=Settings() as settings):
                self._apply_settings(settings)
            case Result(tag="error", error=failure):
                logging.error("reload: keeping the current settings: %s", failure)

    def _apply_settings(self, new_settings: Settings) -> None:
        if new_settings == self._settings:
            logging.info("reload: nothing changed")
            return
        if replace(new_settings, bounds=self._settings.bounds) != self._settings:
            logging.warning(
                "reload: changes other than those of the bounds need a restart"
            )
        self._settings = replace(self._settings, bounds=new_settings.bounds)
        self._pipeline.set_bounds(new_settings.bounds)
        self._lender.set_bounds(new_settings.bounds)
        self._admission.set_bounds(new_settings.bounds)
        logging.info("reload: applied %s", new_settings.bounds)

    async def stop(self) -> None:
        """Run the graceful shutdown; cancel requests only when its time is over."""
        plan = StopPlan(self._clock.boottime(), self._settings.bounds.max_stop_seconds)
        logging.info(
            "graceful shutdown started with %d running requests",
            self._lifecycle.running_requests,
        )
        self._lifecycle.stage = Stage.STOPPING
        self._pipeline.begin_stop(plan)
        await self.ownership.leave(self._admission.reserved_until)
        await self._sleep_until(plan.close_idle_at)
        self._frontend.close_idle_connections()
        await self._sleep_until(plan.close_listener_at)
        await self._frontend.close_listener()
        self._lifecycle.stage = Stage.CLOSED
        self._frontend.close_idle_connections()
        if not await self._frontend.wait_until_idle(plan.refuse_unsent_at):
            self._frontend.close_partial_requests()
            self._pipeline.refuse_unsent()
        if not await self._frontend.wait_until_idle(plan.cancel_at):
            if self._lifecycle.running_requests:
                logging.warning(
                    "%d running requests are cancelled",
                    self._lifecycle.running_requests,
                )
            self._pipeline.cancel_running()
        if not await self._frontend.wait_until_idle(plan.exit_at):
            logging.warning("exiting before all responses were sent to their callers")
        logging.info("graceful shutdown finished")

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._clock.boottime()))
