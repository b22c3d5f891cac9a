"""Status rows and actions behind the operators' API."""

import collections.abc
import dataclasses
import logging

import trio

from snipelug_core import change, claim, load, ownership, refusal, table
from snipelug_net import lines
from snipelug_node import (
    admin,
    crashes,
    lease,
    limiter,
    order,
    ports,
    revision,
)

LOG = logging.getLogger("snipelug.node")

MaySend = collections.abc.Callable[[table.Upstream, float, float], load.Verdict]


@dataclasses.dataclass(frozen=True)
class Operations:
    """Provides the rows of the status, and the operators' actions except changes.

    Attributes
    ----------
    may_send : callable
        Returns whether an upstream may get new work, given when the connection was
        opened and the current time.
    """

    tables: table.Tables
    revisions: revision.Keeper
    lease: lease.Keeper
    keyed_calls: order.KeyedCalls
    crashes: crashes.Crashes
    limiter: limiter.Limiter
    may_send: MaySend

    def providers(self) -> admin.Providers:
        """Return the functions that the operators' API calls."""
        return admin.Providers(
            upstreams=self._upstream_rows,
            leases=self._lease_rows,
            queues=self.limiter.describe,
            inventory=self._inventory,
            quarantined=self._quarantined,
            release=self._release,
            unknown_claims=self._unresolved_claims,
            settle=self._settle,
        )

    def _inventory(self) -> change.Inventory:
        if not self.tables.instances:
            return change.Inventory()
        instances = self.tables.instances.values()
        return change.Inventory(
            frozenset(inst.zone for inst in instances),
            frozenset(self.tables.instances),
        )

    def _upstream_rows(self) -> admin.Rows:
        now = trio.current_time()
        return [
            describe_upstream(upstream, self.may_send(upstream, -1.0, now), now)
            for upstream in self.tables.upstreams.values()
        ]

    async def _quarantined(self) -> admin.Rows | refusal.Refusal:
        return [
            {
                "fingerprint": record.fingerprint,
                "team": record.team,
                "upstreams": sorted({c.upstream_id for c in record.crashes}),
            }
            for record in self.crashes.quarantined()
        ]

    async def _release(self, fingerprint: str, author: str) -> refusal.Refusal | None:
        outcome = await self.crashes.release(fingerprint)
        match outcome:
            case crashes.Released():
                lines.event(
                    LOG, "quarantine_released", fingerprint=fingerprint, author=author
                )
                return None
            case crashes.Unknown():
                message = f"fingerprint {fingerprint} has no crash on record"
                return refusal.refuse(refusal.NOT_FOUND, message)
            case ports.Conflict():
                message = "the record was changed concurrently; repeat the release"
                return refusal.refuse(refusal.IN_PROGRESS, message)
            case ports.Unavailable(reason):
                return refusal.refuse(refusal.STORE_UNAVAILABLE, reason)

    async def _unresolved_claims(self) -> admin.Rows | refusal.Refusal:
        rows: admin.Rows = []
        for team in self.revisions.cfg.contracts:
            after = ""
            while True:
                page = await self.keyed_calls.unresolved_claims(team, after)
                if isinstance(page, ports.Unavailable):
                    message = f"claims cannot be read: {page.reason}"
                    return refusal.refuse(refusal.STORE_UNAVAILABLE, message)
                rows += [dataclasses.asdict(item) for item in page.claims]
                after = page.after
                if not after:
                    break
        return rows

    async def _settle(
        self, team: str, key: str, ran: bool, author: str
    ) -> refusal.Refusal | None:
        verdict = claim.Verdict.RAN if ran else claim.Verdict.NOT_RUN
        outcome = await self.keyed_calls.settle(
            team, key, verdict, f"settled by {author}"
        )
        match outcome:
            case order.Settled():
                lines.event(LOG, "claim_settled", team=team, ran=ran, author=author)
                return None
            case claim.TooEarly(wait_s):
                message = f"the claim may be settled in {wait_s:.0f} s"
                return refusal.refuse(refusal.IN_PROGRESS, message)
            case claim.NotSettleable(reason):
                return refusal.refuse(refusal.FORBIDDEN, reason)
            case order.Changed():
                message = "the claim was changed concurrently; read it again"
                return refusal.refuse(refusal.IN_PROGRESS, message)
            case ports.Absent():
                message = f"team {team!r} has no claim with this key"
                return refusal.refuse(refusal.NOT_FOUND, message)
            case ports.Unavailable(reason):
                return refusal.refuse(refusal.STORE_UNAVAILABLE, reason)

    def _lease_rows(self) -> admin.Rows:
        now = trio.current_time()
        return [
            {
                "item": key,
                "fencing": owner_row.row.fencing,
                "valid": self.lease.valid(now),
            }
            for key, owner_row in sorted(self.lease.owners.known_rows.items())
            if ownership.fencing_token(self.lease.owners, key, now) is not None
        ]


def describe_upstream(
    upstream: table.Upstream, eligibility: load.Verdict, now: float
) -> dict[str, object]:
    """Return the status row of an upstream."""
    report = upstream.report
    state = (
        "open" if isinstance(eligibility, load.Allowed) else eligibility.reason.value
    )
    return {
        "id": upstream.instance.id,
        "role": upstream.instance.role.value,
        "zone": upstream.instance.zone,
        "state": state,
        "queue": load.estimate_queue(upstream),
        "in_flight_here": upstream.in_flight,
        "weight_version": report.weight_version if report else "",
        "report_age_s": round(now - report.made_at, 2) if report else None,
    }
