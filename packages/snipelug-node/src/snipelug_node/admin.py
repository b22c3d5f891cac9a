"""HTTP API for operators: changes, status, quarantine and claims of unknown outcome."""

import collections.abc
import dataclasses
import hmac
import http
import math
import typing

import msgspec

from snipelug_core import change, contract, currency, refusal
from snipelug_net import http_server
from snipelug_node import peer, ports, revision

PREFIX = "/admin/v1"
MAX_WAIT_S = 60.0
MAX_HISTORY = 500

INVALID = refusal.Kind("invalid", http.HTTPStatus.UNPROCESSABLE_ENTITY)
OUTDATED = refusal.Kind("outdated", http.HTTPStatus.CONFLICT)
NOT_ALLOWED = refusal.Kind("not_allowed", http.HTTPStatus.SERVICE_UNAVAILABLE, 2.0)
UNCLEAR = refusal.Kind("unclear", http.HTTPStatus.GATEWAY_TIMEOUT, 2.0)

Rows = list[dict[str, typing.Any]]
ListRows = collections.abc.Callable[[], Rows]
FetchRows = collections.abc.Callable[
    [], collections.abc.Awaitable[Rows | refusal.Refusal]
]
Release = collections.abc.Callable[
    [str, str], collections.abc.Awaitable[refusal.Refusal | None]
]
Settle = collections.abc.Callable[
    [str, str, bool, str], collections.abc.Awaitable[refusal.Refusal | None]
]


@dataclasses.dataclass(frozen=True)
class Providers:
    """Functions of other components that the API calls; rows are JSON objects.

    Attributes
    ----------
    upstreams, leases, queues : callable
        Return rows for the status.
    inventory : callable
        Returns the zones and instances in the platform's instance list.
    quarantined, unknown_claims : async callable
        Return rows, or a refusal if the table service is unavailable.
    release : async callable
        Releases a fingerprint from quarantine; takes the fingerprint and the operator.
    settle : async callable
        Settles a claim; takes team, key, whether the call ran, and the operator.
    """

    upstreams: ListRows
    leases: ListRows
    queues: ListRows
    inventory: collections.abc.Callable[[], change.Inventory]
    quarantined: FetchRows
    release: Release
    unknown_claims: FetchRows
    settle: Settle


class CheckBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a dry run of a change.

    Attributes
    ----------
    force : bool
        Allow zones and instances that the platform's list does not contain.
    """

    operations: change.Operations
    force: bool = False


class ProposeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a proposed change.

    Attributes
    ----------
    nonce : str
        Identifies the change when the client repeats the call; it is made only once.
    expected : int or None
        Revision on which the change is based; None for the newest one.
    wait_s : float
        Longest time to wait until the change is in force on all members, in seconds.
    """

    operations: change.Operations
    author: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    nonce: typing.Annotated[str, msgspec.Meta(min_length=8, max_length=64)]
    expected: typing.Annotated[int, msgspec.Meta(ge=0)] | None = None
    wait_s: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)] = 0.0
    force: bool = False


class ReleaseBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a release from quarantine."""

    fingerprint: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    author: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class SettleBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the settlement of a claim of unknown outcome."""

    team: contract.Name
    key: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=512)]
    ran: bool
    author: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


Body = typing.TypeVar("Body")
Endpoint = collections.abc.Callable[
    [http_server.Request], collections.abc.Awaitable[http_server.Response]
]


class Admin:
    """Handles operators' requests; ``handle`` is an HTTP handler.

    Parameters
    ----------
    keeper : Keeper
        Holds the configuration and writes changes.
    peers : Peers
        The other nodes.
    admin_key : str
        Bearer key of the operators, from the settings.
    providers : Providers
        Functions of other components that the API calls.
    """

    def __init__(
        self,
        keeper: revision.Keeper,
        peers: peer.Peers,
        admin_key: str,
        providers: Providers,
    ) -> None:
        if not admin_key:
            raise ValueError("the admin key is empty")
        self._keeper = keeper
        self._peers = peers
        self._key = admin_key.encode()
        self._providers = providers
        self._endpoints: dict[tuple[str, str], Endpoint] = {
            ("GET", "/config"): self._show_config,
            ("GET", "/changes"): self._show_history,
            ("POST", "/changes"): self._propose,
            ("POST", "/check"): self._check,
            ("GET", "/in-force"): self._show_in_force,
            ("GET", "/status"): self._show_status,
            ("GET", "/quarantine"): self._show_quarantine,
            ("POST", "/quarantine/release"): self._release,
            ("GET", "/claims"): self._show_claims,
            ("POST", "/claims/settle"): self._settle,
        }

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
        if not self._is_operator(req):
            message = "the Authorization header needs the operators' bearer key"
            return _refusal_response(refusal.refuse(refusal.UNAUTHENTICATED, message))
        path = req.path.removeprefix(PREFIX)
        endpoint = self._endpoints.get((req.method, path))
        if endpoint is None or not req.path.startswith(PREFIX):
            message = f"no operation {req.method} {req.path}"
            return _refusal_response(refusal.refuse(refusal.NOT_FOUND, message))
        return await endpoint(req)

    def _is_operator(self, req: http_server.Request) -> bool:
        scheme, _, token = req.headers.get("authorization", "").partition(" ")
        matches = hmac.compare_digest(token.strip().encode(), self._key)
        return scheme.lower() == "bearer" and matches

    # Configuration

    async def _show_config(self, _: http_server.Request) -> http_server.Response:
        cfg = self._keeper.cfg
        inventory = self._providers.inventory()
        content = {
            "revision": cfg.revision,
            "contracts": [cfg.contracts[k] for k in sorted(cfg.contracts)],
            "models": [cfg.models[k] for k in sorted(cfg.models)],
            "zones_out": sorted(cfg.zones_out),
            "instances_out": sorted(cfg.instances_out),
            "zones": sorted(inventory.zones or ()),
            "instances": sorted(inventory.instances or ()),
        }
        return http_server.json_response(http.HTTPStatus.OK, content)

    async def _show_history(self, req: http_server.Request) -> http_server.Response:
        newest = self._keeper.cfg.revision
        limit = _read_number(req, "limit", 20, 1, MAX_HISTORY)
        if isinstance(limit, refusal.Refusal):
            return _refusal_response(limit)
        oldest = max(newest - int(limit), 0)
        after = _read_number(req, "after", oldest, 0, math.inf)
        if isinstance(after, refusal.Refusal):
            return _refusal_response(after)
        changes = await self._keeper.history(int(after), int(limit))
        if isinstance(changes, ports.Unavailable):
            message = f"older changes cannot be read: {changes.reason}"
            return _refusal_response(refusal.refuse(refusal.STORE_UNAVAILABLE, message))
        content = {"revision": newest, "changes": changes}
        return http_server.json_response(http.HTTPStatus.OK, content)

    async def _check(self, req: http_server.Request) -> http_server.Response:
        body = _read_body(req, CheckBody)
        if isinstance(body, refusal.Refusal):
            return _refusal_response(body)
        invalid = self._keeper.check(body.operations, self._inventory(body.force))
        if isinstance(invalid, revision.Invalid):
            return _invalid_response(invalid)
        content = {
            "outcome": "valid" if invalid is None else "unchanged",
            "revision": self._keeper.cfg.revision,
        }
        return http_server.json_response(http.HTTPStatus.OK, content)

    async def _propose(self, req: http_server.Request) -> http_server.Response:
        body = _read_body(req, ProposeBody)
        if isinstance(body, refusal.Refusal):
            return _refusal_response(body)
        proposal = revision.Proposal(
            body.operations, body.author, body.nonce, body.expected
        )
        outcome = await self._keeper.propose(proposal, self._inventory(body.force))
        match outcome:
            case revision.Accepted(rollout=rollout):
                return await self._recorded_response("accepted", rollout, body.wait_s)
            case revision.RecordedOnly(rollout=rollout):
                return await self._recorded_response("recorded", rollout, body.wait_s)
            case revision.Unchanged(revision=number):
                rollout = await self._keeper.wait_in_force(number, body.wait_s)
                return _rollout_response("unchanged", rollout)
            case _:
                return _proposal_refusal_response(outcome)

    async def _recorded_response(
        self, outcome: str, rollout: revision.Rollout, wait_s: float
    ) -> http_server.Response:
        if rollout.missing and wait_s > 0:
            rollout = await self._keeper.wait_in_force(rollout.revision, wait_s)
        return _rollout_response(outcome, rollout)

    async def _show_in_force(self, req: http_server.Request) -> http_server.Response:
        newest = self._keeper.cfg.revision
        number = _read_number(req, "revision", newest, 0, math.inf)
        if isinstance(number, refusal.Refusal):
            return _refusal_response(number)
        wait_s = _read_number(req, "wait_s", 0.0, 0.0, MAX_WAIT_S)
        if isinstance(wait_s, refusal.Refusal):
            return _refusal_response(wait_s)
        rollout = await self._keeper.wait_in_force(int(number), wait_s)
        return _rollout_response("shown", rollout)

    def _inventory(self, force: bool) -> change.Inventory | None:
        return None if force else self._providers.inventory()

    # Status

    async def _show_status(self, _: http_server.Request) -> http_server.Response:
        now = self._peers.clock()
        currency_state = self._keeper.evaluate(now)
        current: dict[str, typing.Any] = {"current": False}
        match currency_state:
            case currency.Current(rule=rule, age_s=age_s):
                current = {"current": True, "rule": rule, "age_s": age_s}
            case currency.NotCurrent(reason=reason):
                current = {"current": False, "reason": reason}
        content = {
            "node": self._peers.node_id,
            "revision": self._keeper.cfg.revision,
            "currency": current,
            "nodes": self._list_nodes(now),
            "upstreams": self._providers.upstreams(),
            "leases": self._providers.leases(),
            "queues": self._providers.queues(),
        }
        return http_server.json_response(http.HTTPStatus.OK, content)

    def _list_nodes(self, now: float) -> Rows:
        members = self._peers.members
        return [self._describe_node(k, now) for k in sorted(members.rows)]

    def _describe_node(self, node_id: str, now: float) -> dict[str, typing.Any]:
        row = self._peers.members.rows[node_id]
        report = self._peers.members.reports.get(node_id)
        row_content: dict[str, typing.Any] = {
            "node": node_id,
            "zone": row.zone,
            "revoked": row.revoked,
            "revision": report.revision if report else None,
            "age_s": now - report.reported_at if report else None,
            "live": node_id in self._peers.live(),
        }
        if node_id == self._peers.node_id:
            row_content["revision"] = self._keeper.cfg.revision
            row_content["age_s"] = 0.0
        return row_content

    # Quarantine and claims

    async def _show_quarantine(self, _: http_server.Request) -> http_server.Response:
        return _rows_response("quarantined", await self._providers.quarantined())

    async def _release(self, req: http_server.Request) -> http_server.Response:
        body = _read_body(req, ReleaseBody)
        if isinstance(body, refusal.Refusal):
            return _refusal_response(body)
        refused = await self._providers.release(body.fingerprint, body.author)
        return _action_response("released", refused)

    async def _show_claims(self, _: http_server.Request) -> http_server.Response:
        return _rows_response("claims", await self._providers.unknown_claims())

    async def _settle(self, req: http_server.Request) -> http_server.Response:
        body = _read_body(req, SettleBody)
        if isinstance(body, refusal.Refusal):
            return _refusal_response(body)
        refused = await self._providers.settle(
            body.team, body.key, body.ran, body.author
        )
        return _action_response("settled", refused)


def _read_body(req: http_server.Request, kind: type[Body]) -> Body | refusal.Refusal:
    try:
        return msgspec.json.decode(req.body, type=kind)
    except msgspec.MsgspecError as exc:
        return refusal.refuse(refusal.BAD_REQUEST, f"body: {exc}")


def _read_number(
    req: http_server.Request, name: str, default: float, low: float, high: float
) -> float | refusal.Refusal:
    text = req.query.get(name)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if low <= number <= high and math.isfinite(number):
        return number
    message = f"parameter {name}={text!r} is not a number from {low} to {high}"
    return refusal.refuse(refusal.BAD_REQUEST, message)


def _refusal_response(
    refused: refusal.Refusal, extra: dict[str, typing.Any] | None = None
) -> http_server.Response:
    headers = {}
    if refused.retry_after_s is not None:
        headers["retry-after"] = str(math.ceil(refused.retry_after_s))
    content = {**refused.content(), **(extra or {})}
    return http_server.json_response(refused.kind.status, content, headers)


def _invalid_response(invalid: revision.Invalid) -> http_server.Response:
    message = f"{len(invalid.mistakes)} mistakes; nothing was changed"
    refused = refusal.refuse(INVALID, message)
    return _refusal_response(refused, {"mistakes": list(invalid.mistakes)})


def _proposal_refusal_response(outcome: revision.Outcome) -> http_server.Response:
    match outcome:
        case revision.Invalid():
            return _invalid_response(outcome)
        case revision.Outdated(revision=number, author=author):
            message = (
                f"revision {number} by {author} came first; nothing was changed. "
                "Look at the newer configuration and propose again"
            )
            return _refusal_response(
                refusal.refuse(OUTDATED, message), {"revision": number}
            )
        case revision.NotAllowed(reason=reason):
            message = f"this node cannot accept changes now: {reason}"
            return _refusal_response(refusal.refuse(NOT_ALLOWED, message))
        case revision.Unclear(revision=number, nonce=nonce):
            message = (
                "the table service did not say whether the change was written. "
                f"Repeat the call with nonce {nonce}: it is made at most once"
            )
            refused = refusal.refuse(UNCLEAR, message, refusal.RunState.UNKNOWN)
            return _refusal_response(refused, {"revision": number, "nonce": nonce})
        case _:
            raise AssertionError(f"{outcome} is not a refusal")


def _rollout_response(outcome: str, rollout: revision.Rollout) -> http_server.Response:
    status = http.HTTPStatus.OK
    if outcome == "recorded":
        status = http.HTTPStatus.ACCEPTED
    content = {
        "outcome": outcome,
        "revision": rollout.revision,
        "in_force": list(rollout.in_force),
        "missing": list(rollout.missing),
    }
    return http_server.json_response(status, content)


def _rows_response(name: str, rows: Rows | refusal.Refusal) -> http_server.Response:
    if isinstance(rows, refusal.Refusal):
        return _refusal_response(rows)
    return http_server.json_response(http.HTTPStatus.OK, {name: rows})


def _action_response(
    outcome: str, refused: refusal.Refusal | None
) -> http_server.Response:
    if refused is not None:
        return _refusal_response(refused)
    return http_server.json_response(http.HTTPStatus.OK, {"outcome": outcome})
