"""Client of the admin API of nodes, with outcomes as values."""

import collections.abc
import dataclasses
import functools
import http
import typing
import urllib.parse

import msgspec
import trio

from snipelug_net import http_client

PREFIX = "/admin/v1"
# A node needs up to 18 s to determine whether an unresponsive store applied a change.
ANSWER_MARGIN_S = 20.0
CONNECT_TIMEOUT_S = 3.0

Content = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Settings:
    """Connection settings.

    Attributes
    ----------
    urls : tuple of str
        Base URLs of nodes, tried in order.
    key : str
        Bearer key of the admin API.
    """

    urls: tuple[str, ...]
    key: str


@dataclasses.dataclass(frozen=True)
class Succeeded:
    """The node executed the call."""

    status: int
    content: Content


@dataclasses.dataclass(frozen=True)
class Refused:
    """The node refused the call with an error code and a message."""

    status: int
    code: str
    message: str
    content: Content


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No node answered the call.

    Attributes
    ----------
    reasons : tuple of str
        One reason for each URL.
    maybe_done : bool
        Whether a node may have received and executed the call.
    """

    reasons: tuple[str, ...]
    may_have_run: bool


@dataclasses.dataclass(frozen=True)
class BadUrl:
    """The URL of a node is invalid."""

    message: str


Answer = Succeeded | Refused | Unreachable


def parse_address(url: str) -> http_client.Address | BadUrl:
    """Parse the host and port of a base URL."""
    split = urllib.parse.urlsplit(url)
    try:
        port = split.port
    except ValueError:
        port = None
    if split.scheme != "http" or not split.hostname or port is None:
        return BadUrl(f"URL {url!r} is not of the form http://HOST:PORT")
    if split.path not in ("", "/") or split.query:
        return BadUrl(f"URL {url!r} must not have a path or query")
    return split.hostname, port


def call(
    settings: Settings,
    method: str,
    path: str,
    body: Content | None = None,
    wait_s: float = 0.0,
) -> Answer:
    """Call a node; if it does not answer, retry with the next URL.

    Retries are safe, because proposals carry a nonce and all other operations are
    idempotent.
    """
    return trio.run(
        functools.partial(_call_in_order, settings, method, path, body, wait_s)
    )


async def _call_in_order(
    settings: Settings, method: str, path: str, body: Content | None, wait_s: float
) -> Answer:
    reasons: list[str] = []
    may_have_run = False
    last: Succeeded | Refused | None = None
    for url in settings.urls:
        reply = await _call_one(settings, url, method, path, body, wait_s)
        match reply:
            case http_client.FullResponse():
                last = _decode_answer(reply)
                if not _should_try_next(last):
                    return last
                reasons.append(f"{url}: {last.message}")
            case http_client.Lost(reason=reason):
                may_have_run = True
                reasons.append(f"{url}: {reason}")
            case http_client.NotSent(reason=reason) | BadUrl(message=reason):
                reasons.append(f"{url}: {reason}")
            case _:
                reasons.append(f"{url}: {reply}")
    if last is not None and not may_have_run:
        return last
    return Unreachable(tuple(reasons), may_have_run)


def _should_try_next(answer: Succeeded | Refused) -> typing.TypeGuard[Refused]:
    """Return whether another node may accept a call that this one refused."""
    return isinstance(answer, Refused) and answer.code in ("not_allowed", "unclear")


async def _call_one(
    settings: Settings,
    url: str,
    method: str,
    path: str,
    body: Content | None,
    wait_s: float,
) -> (
    http_client.FullResponse
    | http_client.NotSent
    | http_client.Withheld
    | http_client.Lost
    | http_client.TooLarge
    | BadUrl
):
    address = parse_address(url)
    if isinstance(address, BadUrl):
        return address
    headers = {"authorization": f"Bearer {settings.key}"}
    data = b""
    if body is not None:
        headers["content-type"] = "application/json"
        data = msgspec.json.encode(body)
    request = http_client.Call(
        address, method, PREFIX + path, headers, data, wait_s + ANSWER_MARGIN_S
    )
    pool = http_client.Pool(CONNECT_TIMEOUT_S)
    try:
        return await pool.fetch(request)
    finally:
        await pool.aclose()


def _decode_answer(reply: http_client.FullResponse) -> Succeeded | Refused:
    try:
        content = msgspec.json.decode(reply.body, type=Content)
    except msgspec.MsgspecError:
        text = reply.body[:200].decode(errors="replace")
        return Refused(reply.status, "not_json", f"unexpected answer: {text}", {})
    if reply.status < http.HTTPStatus.BAD_REQUEST:
        return Succeeded(reply.status, content)
    error = content.get("error", {})
    code = str(error.get("code", reply.status))
    message = str(error.get("message", "no message"))
    return Refused(reply.status, code, message, content)


def add_query(path: str, fields: collections.abc.Mapping[str, object]) -> str:
    """Append the query parameters that are not None to a path."""
    given = {k: v for k, v in fields.items() if v is not None}
    return f"{path}?{urllib.parse.urlencode(given)}" if given else path
