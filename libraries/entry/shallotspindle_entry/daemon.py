"""Builds the tasks of an instance and runs them until its graceful shutdown ends."""

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

from shallotspindle_entry import caller_memory, certificates
from shallotspindle_entry.administration import Administration
from shallotspindle_entry.balancing_messages import SnapshotRequest
from shallotspindle_entry.certificates import CertificateReloader
from shallotspindle_entry.coordination import CoordinationTasks
from shallotspindle_entry.execution import Executor
from shallotspindle_entry.forwarding import Forwarder
from shallotspindle_entry.frontend import Frontend
from shallotspindle_entry.lifecycle import Lifecycle, Stage
from shallotspindle_entry.pipeline import Pipeline
from shallotspindle_entry.validation import RequestValidator
from shallotspindle_entry.withdrawal_endpoint import handle_withdrawal
from shallotspindle_environment.clock import SystemClock
from shallotspindle_health.detection import HealthState, UpstreamDescription
from shallotspindle_settings.daemon import Address, EntrySettings
from shallotspindle_telemetry import unexpected
from shallotspindle_telemetry.metrics import RequestMetrics

READY_STATUS = 200


def create_listener(address: Address) -> socket.socket:
    """Return a listening socket; for port 0 the kernel chooses a free port."""
    return socket.create_server((address.host, address.port), backlog=1024)


def describe_upstream(service: str, upstream: UpstreamDescription) -> dict[str, Any]:
    """Return the state of an upstream in the JSON form for operators."""
    state = "healthy" if upstream.state is HealthState.ACTIVE else upstream.state.value
    return {
        "service": service,
        "name": upstream.name,
        "state": state,
        "reason": "; ".join(upstream.reasons),
        "score": round(upstream.score, 3),
        "shed": upstream.shed_count,
    }


class Daemon:
    """One instance: creates its tasks, runs them and stops them in order."""

    def __init__(self, settings: EntrySettings, session: aiohttp.ClientSession) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._random = random.SystemRandom()
        self._lifecycle = Lifecycle()
        self._metrics = RequestMetrics()
        self._caller_listener = create_listener(settings.callers)
        self._administration_listener = create_listener(settings.administration)
        self._coordination = CoordinationTasks(
            settings,
            create_listener(settings.peers),
            session,
            self._clock,
            self._random,
        )
        self._configuration = self._coordination.configuration
        self._forwarder = Forwarder()
        self._frontend, tls_tasks = self._build_frontend()
        self._services: list[Service] = [
            *self._coordination.list_tasks(),
            self._forwarder,
            *tls_tasks,
            self._frontend,
            self._build_administration(),
        ]

    def _build_administration(self) -> Administration:
        administration = Administration(
            self._administration_listener, self._render_metrics
        )
        administration.add_json_route("/ready", self.describe_readiness)
        administration.add_json_route("/state", self.describe_state)
        administration.add_json_route("/upstreams", self.describe_upstreams)
        administration.add_post_route(
            "/withdrawals", partial(handle_withdrawal, self._configuration)
        )
        return administration

    def _build_frontend(self) -> tuple[Frontend, list[Service]]:
        executor = Executor(
            self._coordination.balancing,
            self._forwarder,
            self._clock,
            self._random,
            self._settings.require_request_ids,
        )
        pipeline = Pipeline(
            self._configuration,
            RequestValidator(self._clock, self._coordination.peers),
            self._coordination.admission,
            self._coordination.claims,
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
            self._caller_listener,
            context,
            caller_memory.derive_limits(
                self._settings.memory_mb, self._settings.max_descriptors
            ),
        )
        return frontend, tasks

    def _build_tls(self) -> tuple[ssl.SSLContext | None, list[Service]]:
        tls = self._settings.tls
        if tls is None:
            return None, []
        files = (Path(tls.certificate), Path(tls.private_key))
        context = certificates.build_tls_context(*files)
        reloader = CertificateReloader(context, *files, tls.reload_seconds)
        return context, [reloader]

    def _render_metrics(self) -> tuple[bytes, dict[str, str]]:
        version = self._configuration.current.bundle.version
        self._metrics.set_state(version, self._lifecycle.running_requests)
        self._metrics.set_rejected(self._configuration.is_bundle_rejected)
        traffic = self._coordination.peers.traffic
        self._metrics.set_peer_traffic(traffic.sent_bytes, traffic.received_bytes)
        errors = (task.errors for task in self._coordination.list_tasks())
        self._metrics.set_unexpected_errors(unexpected.sum_counts(errors))
        return self._metrics.render()

    async def describe_upstreams(self) -> tuple[int, Any]:
        """Return the health of all upstreams, with the reasons for ejections."""
        services = await self._coordination.balancing.ask(SnapshotRequest())
        upstreams = [
            describe_upstream(service.service, upstream)
            for service in services
            for upstream in service.upstreams
        ]
        return 200, {"instance": self._settings.name, "upstreams": upstreams}

    async def describe_readiness(self) -> tuple[int, Any]:
        """Return 200 while the load balancer should send requests to this instance."""
        if self._lifecycle.stage is not Stage.RUNNING:
            return 503, {"ready": False, "reason": "the instance is stopping"}
        if self._configuration.current.bundle.version == 0:
            return 503, {"ready": False, "reason": "no bundle is in force"}
        if not self._coordination.peers.is_fresh(self._clock.boottime()):
            return 503, {"ready": False, "reason": "no store and too few peers heard"}
        return 200, {"ready": True}

    async def describe_state(self) -> tuple[int, Any]:
        """Return the state of the instance for operators."""
        status, _ = await self.describe_readiness()
        own_instance, ownership = (
            self._coordination.own_instance,
            self._coordination.ownership,
        )
        return 200, {
            "instance": self._settings.name,
            "incarnation": own_instance.incarnation,
            "address": own_instance.address,
            "failure_domain": own_instance.domain,
            "bundle": self._configuration.current.bundle.version,
            "rejected": self._configuration.is_bundle_rejected,
            "ready": status == READY_STATUS,
            "stage": self._lifecycle.stage.value,
            "running": self._lifecycle.running_requests,
            "peers": len(self._coordination.peers.list_peers()),
            "partitions": len(ownership.state.held),
            "renewals": ownership.state.session.counter,
            "ownership_phase": ownership.find_phase().value,
        }

    async def run(self) -> None:
        """Run until a signal requests the graceful shutdown, then stop."""
        stop_requested = asyncio.Event()
        async with aiomisc.entrypoint(*self._services, log_config=False):
            # Replaces signal handlers of the entrypoint, which stop all tasks at once.
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, stop_requested.set)
            logging.info(
                "listening: callers %d, administration %d, peers %s, incarnation %s",
                self._caller_listener.getsockname()[1],
                self._administration_listener.getsockname()[1],
                self._coordination.own_instance.address,
                self._coordination.own_instance.incarnation,
            )
            await stop_requested.wait()
            await self._stop()

    async def _stop(self) -> None:
        logging.info("graceful shutdown started")
        limit = self._settings.stop_limit_seconds
        await self._frontend.drain(self._settings.stop_wait_seconds, limit)
        unassigned_count = await self._coordination.ownership.hand_over_all(limit)
        if unassigned_count:
            logging.warning(
                "%d partitions were not handed over to another instance",
                unassigned_count,
            )
        logging.info("graceful shutdown finished")
