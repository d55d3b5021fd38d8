"""Creates and connects the tasks that coordinate with other instances."""

import random
import secrets
import socket

import aiohttp
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from shallotspindle_bundles import differences
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import (
    FailureDomain,
    Incarnation,
    Instance,
)
from shallotspindle_entry import admission, bundle_messages, claims
from shallotspindle_entry.admission import AdmissionTask, BundleLimits
from shallotspindle_entry.balancing import BalancingTask
from shallotspindle_entry.balancing_messages import ServicesChanged
from shallotspindle_entry.bundle_loading import Configuration
from shallotspindle_entry.bundle_messages import PeerStateSummary
from shallotspindle_entry.claims import ClaimsTask
from shallotspindle_entry.configuration import ConfigurationTask
from shallotspindle_entry.crash_storing import CrashStoring
from shallotspindle_entry.ownership import OwnershipTask
from shallotspindle_entry.peers import PeerTransport
from shallotspindle_environment.etcd import EtcdStore
from shallotspindle_environment.listing import HttpInstanceList
from shallotspindle_health import messages as health_messages
from shallotspindle_idempotency import messages as claim_messages
from shallotspindle_limits import records as limit_records
from shallotspindle_membership.heartbeats import StateSummary
from shallotspindle_ownership import messages as ownership_messages
from shallotspindle_settings.daemon import EntrySettings

MESSAGE_TYPES = (
    *bundle_messages.MESSAGE_TYPES,
    *limit_records.MESSAGE_TYPES,
    claim_messages.ClaimRequest,
    claim_messages.ClaimGrant,
    claim_messages.AlreadyClaimed,
    claim_messages.DifferentBody,
    claim_messages.Quarantined,
    claim_messages.HolderUnavailable,
    claim_messages.OutcomeReport,
    claim_messages.AbandonReport,
    claim_messages.ReplayRequest,
    claim_messages.RecordedResponse,
    claim_messages.RequestInProgress,
    claim_messages.ResponseDiscarded,
    claim_messages.UnknownOutcome,
    claims.ReportAcknowledged,
    ownership_messages.HandoverOffer,
    ownership_messages.OfferAccepted,
    ownership_messages.OfferDeclined,
    ownership_messages.Handover,
    ownership_messages.HandoverReceived,
    ownership_messages.OwnershipChangeNotice,
    ownership_messages.TableRequest,
    ownership_messages.TableResponse,
    health_messages.SuspicionReport,
    health_messages.CrashNotice,
)


def create_instance(settings: EntrySettings, listener: socket.socket) -> Instance:
    """Return the identity of this instance: incarnation, peer address and domain."""
    host, port = listener.getsockname()[:2]
    incarnation = settings.incarnation or secrets.token_hex(16)
    return Instance(
        Incarnation(incarnation),
        f"{host}:{port}",
        FailureDomain(settings.failure_domain),
    )


class CoordinationTasks:
    """The tasks of one instance that communicate with its peers and the store.

    :param listener: listening socket for peers.
    :param session: HTTP client for the platform; the caller closes it.
    """

    def __init__(
        self,
        settings: EntrySettings,
        listener: socket.socket,
        session: aiohttp.ClientSession,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self.own_instance = create_instance(settings, listener)
        store = EtcdStore(session, settings.store_url)
        instances = HttpInstanceList(session, settings.instance_list_url)
        domains = frozenset(map(FailureDomain, settings.failure_domains))
        self.peers = PeerTransport(
            self.own_instance,
            listener,
            bytes.fromhex(settings.fleet_secret),
            clock,
            random_source,
            instances,
            self,
            MESSAGE_TYPES,
            domains,
        )
        signers = {
            name: Ed25519PublicKey.from_public_bytes(bytes.fromhex(key))
            for name, key in settings.signers.items()
        }
        self.configuration = ConfigurationTask(
            store, signers, self.peers, clock, self.own_instance, domains
        )
        self.ownership = OwnershipTask(
            self.own_instance, store, instances, self.peers, clock, random_source
        )
        self.admission = AdmissionTask(
            self.own_instance,
            self.peers,
            self.ownership,
            self.peers,
            clock,
            random_source,
        )
        self.claims = ClaimsTask(
            self.own_instance, self.ownership, self.peers, clock, random_source
        )
        self.balancing = BalancingTask(
            self.own_instance, self.peers, clock, random_source
        )
        self.crash_storing = CrashStoring(store, self.balancing, clock)
        self._subscribe_tasks()

    def _subscribe_tasks(self) -> None:
        self.ownership.subscribe(admission.STATE_NAME, self.admission)
        self.ownership.subscribe(claims.STATE_NAME, self.claims)
        self.configuration.subscribe(self._apply_bundle)
        self.peers.add_ahead_listener(self._handle_peer_ahead)

    def list_tasks(self) -> list:
        """Return the tasks in the order in which they start."""
        return [
            self.peers,
            self.configuration,
            self.ownership,
            self.admission,
            self.claims,
            self.balancing,
            self.crash_storing,
        ]

    def build_summary(self) -> StateSummary:
        """Return the versions and digests for the heartbeats of this instance."""
        self.peers.record_store_contact(self.configuration.store_contacted_at)
        return StateSummary(
            bundle_version=self.configuration.version,
            table_version=self.ownership.seen_revision,
            withdrawals=self.configuration.withdrawal_summary,
        )

    def _handle_peer_ahead(self, peer: Instance, summary: StateSummary) -> None:
        self.configuration.tell(
            PeerStateSummary(peer, summary.bundle_version, summary.withdrawals)
        )
        self.ownership.handle_peer_ahead(peer, summary.table_version)

    def _apply_bundle(self, before: Configuration, after: Configuration) -> None:
        if before.bundle is after.bundle:
            return
        services = ServicesChanged(after.bundle.services, after.bundle.teams)
        self.balancing.tell(services)
        limits = BundleLimits(after.bundle)
        if before.bundle.version == 0:
            self.admission.update_limits(limits, None)
            return
        changes = differences.compare_teams(before.bundle.teams, after.bundle.teams)
        self.admission.update_limits(limits, (change.name for change in changes))
