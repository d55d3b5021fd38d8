"""Builds the tasks of an instance and runs them until the planned stop ends."""

import asyncio
import random
import signal
import socket
from typing import Any

import aiohttp
import aiomisc
from absl import logging
from aiomisc import Service
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from shallotspindle_entry import certificates, standalone
from shallotspindle_entry.administration import Administration
from shallotspindle_entry.configuration import ConfigurationTask
from shallotspindle_entry.execution import Executor
from shallotspindle_entry.forwarding import Forwarder
from shallotspindle_entry.frontend import Frontend
from shallotspindle_entry.gate import Gate
from shallotspindle_entry.lifecycle import Lifecycle, Stage
from shallotspindle_entry.pipeline import Pipeline
from shallotspindle_platform.clock import SystemClock
from shallotspindle_platform.etcd import EtcdStore
from shallotspindle_settings.daemon import Address, EntrySettings
from shallotspindle_telemetry.metrics import RequestMetrics


def bind(address: Address) -> socket.socket:
    """Return a listening socket; port 0 lets the kernel pick a port."""
    return socket.create_server((address.host, address.port), backlog=1024)


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
        store = EtcdStore(session, settings.store_url)
        signers = {
            name: Ed25519PublicKey.from_public_bytes(bytes.fromhex(key))
            for name, key in settings.signers.items()
        }
        self._configuration = ConfigurationTask(store, signers)
        self._forwarder = Forwarder()
        self._services = self._build_services()

    def _build_services(self) -> list[Service]:
        self._frontend = self._build_frontend()
        administration = Administration(self._administration, self._render_metrics)
        administration.add_answer("/ready", self.describe_readiness)
        administration.add_answer("/state", self.describe_state)
        return [self._configuration, self._forwarder, self._frontend, administration]

    def _build_frontend(self) -> Frontend:
        balancer = standalone.LocalBalancer(self._configuration, self._random)
        executor = Executor(balancer, self._forwarder, self._clock, self._random)
        pipeline = Pipeline(
            self._configuration,
            Gate(self._clock, standalone.AlwaysFresh()),
            standalone.UnlimitedAdmission(),
            standalone.LocalClaims(),
            executor,
            self._lifecycle,
        )
        tls = self._settings.tls
        context = None
        if tls is not None:
            context = certificates.build_context(tls.certificate, tls.private_key)
        return Frontend(
            pipeline, self._lifecycle, self._metrics, self._callers, context
        )

    def _render_metrics(self) -> tuple[bytes, dict[str, str]]:
        version = self._configuration.current.bundle.version
        self._metrics.show_state(version, self._lifecycle.running)
        return self._metrics.render()

    def describe_readiness(self) -> tuple[int, Any]:
        """Return 200 while the balancer should send requests."""
        if self._lifecycle.stage is not Stage.RUNNING:
            return 503, {"ready": False, "reason": "the instance is stopping"}
        if self._configuration.current.bundle.version == 0:
            return 503, {"ready": False, "reason": "no bundle is in force"}
        return 200, {"ready": True}

    def describe_state(self) -> tuple[int, Any]:
        """Return what operators see of the instance."""
        return 200, {
            "instance": self._settings.name,
            "failure_domain": self._settings.failure_domain,
            "bundle": self._configuration.current.bundle.version,
            "stage": self._lifecycle.stage.value,
            "running": self._lifecycle.running,
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
                "listening: callers %d, administration %d",
                self._callers.getsockname()[1],
                self._administration.getsockname()[1],
            )
            await stopped.wait()
            await self._stop()

    async def _stop(self) -> None:
        logging.info("the planned stop begins")
        self._lifecycle.stage = Stage.STOPPING
        await asyncio.sleep(self._settings.stop_wait_seconds)
        await self._frontend.close_listener()
        self._lifecycle.stage = Stage.CLOSED
        if not await self._lifecycle.wait_idle(self._settings.stop_limit_seconds):
            logging.warning("%d requests are cut", self._lifecycle.running)
        logging.info("the planned stop ends")
