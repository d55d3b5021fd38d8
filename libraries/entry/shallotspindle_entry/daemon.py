"""Builds the tasks of an instance and runs them until the planned stop ends."""

import asyncio
import random
import signal
import socket
import ssl
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp
import aiomisc
from absl import logging
from aiomisc import Service

from shallotspindle_entry import certificates
from shallotspindle_entry.administration import Administration
from shallotspindle_entry.balancing import TakeSnapshot
from shallotspindle_entry.certificates import CertificateReloader
from shallotspindle_entry.coordination import CoordinationTasks
from shallotspindle_entry.execution import Executor
from shallotspindle_entry.forwarding import Forwarder
from shallotspindle_entry.frontend import Frontend
from shallotspindle_entry.lifecycle import Lifecycle, Stage
from shallotspindle_entry.pipeline import Pipeline
from shallotspindle_entry.validation import RequestValidator
from shallotspindle_entry.withdrawal_endpoint import take_withdrawal
from shallotspindle_environment.clock import SystemClock
from shallotspindle_health.detection import HealthState, UpstreamDescription
from shallotspindle_settings.daemon import Address, EntrySettings
from shallotspindle_telemetry.metrics import RequestMetrics

READY_STATUS = 200


def bind(address: Address) -> socket.socket:
    """Return a listening socket; port 0 lets the kernel pick a port."""
    return socket.create_server((address.host, address.port), backlog=1024)


def describe_upstream(service: str, item: UpstreamDescription) -> dict[str, Any]:
    """Return the state of an upstream in the form that operators read."""
    state = "healthy" if item.state is HealthState.ACTIVE else item.state.value
    return {
        "service": service,
        "name": item.name,
        "state": state,
        "reason": "; ".join(item.reasons),
        "score": round(item.score, 3),
        "shed": item.shed_count,
    }


class Daemon:
    """One instance: its tasks and the order in which it stops."""

    def __init__(self, settings: EntrySettings, session: aiohttp.ClientSession) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._random = random.SystemRandom()
        self._lifecycle = Lifecycle()
        self._metrics = RequestMetrics()
        self._callers = bind(settings.callers)
        self._administration = bind(settings.administration)
        self._fleet = CoordinationTasks(
            settings, bind(settings.peers), session, self._clock, self._random
        )
        self._configuration = self._fleet.configuration
        self._forwarder = Forwarder()
        self._frontend, tls_tasks = self._build_frontend()
        self._services: list[Service] = [
            *self._fleet.list_tasks(),
            self._forwarder,
            *tls_tasks,
            self._frontend,
            self._build_administration(),
        ]

    def _build_administration(self) -> Administration:
        administration = Administration(self._administration, self._render_metrics)
        administration.add_answer("/ready", self.describe_readiness)
        administration.add_answer("/state", self.describe_state)
        administration.add_answer("/upstreams", self.describe_upstreams)
        administration.add_receiver(
            "/withdrawals", partial(take_withdrawal, self._configuration)
        )
        return administration

    def _build_frontend(self) -> tuple[Frontend, list[Service]]:
        executor = Executor(
            self._fleet.balancing, self._forwarder, self._clock, self._random
        )
        pipeline = Pipeline(
            self._configuration,
            RequestValidator(self._clock, self._fleet.peers),
            self._fleet.admission,
            self._fleet.claims,
            executor,
            self._lifecycle,
            self._clock,
        )
        context, tasks = self._build_tls()
        frontend = Frontend(
            pipeline,
            self._lifecycle,
            self._metrics,
            self._clock,
            self._callers,
            context,
        )
        return frontend, tasks

    def _build_tls(self) -> tuple[ssl.SSLContext | None, list[Service]]:
        tls = self._settings.tls
        if tls is None:
            return None, []
        files = (Path(tls.certificate), Path(tls.private_key))
        context = certificates.build_context(*files)
        reloader = CertificateReloader(context, *files, tls.reload_seconds)
        return context, [reloader]

    def _render_metrics(self) -> tuple[bytes, dict[str, str]]:
        version = self._configuration.current.bundle.version
        self._metrics.show_state(version, self._lifecycle.running_requests)
        traffic = self._fleet.peers.traffic
        self._metrics.show_traffic(traffic.sent, traffic.received)
        return self._metrics.render()

    async def describe_upstreams(self) -> tuple[int, Any]:
        """Return the health of all upstreams with the reasons of ejections."""
        services = await self._fleet.balancing.ask(TakeSnapshot())
        upstreams = [
            describe_upstream(service.service, item)
            for service in services
            for item in service.upstreams
        ]
        return 200, {"instance": self._settings.name, "upstreams": upstreams}

    async def describe_readiness(self) -> tuple[int, Any]:
        """Return 200 while the balancer should send requests."""
        if self._lifecycle.stage is not Stage.RUNNING:
            return 503, {"ready": False, "reason": "the instance is stopping"}
        if self._configuration.current.bundle.version == 0:
            return 503, {"ready": False, "reason": "no bundle is in force"}
        if not self._fleet.peers.is_fresh(self._clock.boottime()):
            return 503, {"ready": False, "reason": "no store and too few peers heard"}
        return 200, {"ready": True}

    async def describe_state(self) -> tuple[int, Any]:
        """Return what operators see of the instance."""
        status, _ = await self.describe_readiness()
        own, ownership = self._fleet.own_instance, self._fleet.ownership
        return 200, {
            "instance": self._settings.name,
            "incarnation": own.incarnation,
            "address": own.address,
            "failure_domain": own.domain,
            "bundle": self._configuration.current.bundle.version,
            "ready": status == READY_STATUS,
            "stage": self._lifecycle.stage.value,
            "running": self._lifecycle.running_requests,
            "peers": len(self._fleet.peers.list_peers()),
            "partitions": len(ownership.state.held),
            "renewals": ownership.state.session.counter,
            "ownership_phase": ownership.find_phase().value,
        }

    async def run(self) -> None:
        """Run until a signal asks for the planned stop, then stop."""
        stopped = asyncio.Event()
        async with aiomisc.entrypoint(*self._services, log_config=False):
            # Replaces the handlers of the entrypoint, which stop all tasks at once.
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, stopped.set)
            logging.info(
                "listening: callers %d, administration %d, peers %s, incarnation %s",
                self._callers.getsockname()[1],
                self._administration.getsockname()[1],
                self._fleet.own_instance.address,
                self._fleet.own_instance.incarnation,
            )
            await stopped.wait()
            await self._stop()

    async def _stop(self) -> None:
        logging.info("the planned stop begins")
        limit = self._settings.stop_limit_seconds
        await self._frontend.drain(self._settings.stop_wait_seconds, limit)
        lost = await self._fleet.ownership.hand_over_all(limit)
        if lost:
            logging.warning("%d partitions have no successor", lost)
        logging.info("the planned stop ends")
