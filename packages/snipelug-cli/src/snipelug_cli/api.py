"""Calls of the operators' API of a node, with outcomes as values."""

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
# A node takes up to 18 s to find out what a silent store did with a change.
ANSWER_MARGIN_S = 20.0
CONNECT_TIMEOUT_S = 3.0

Content = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Settings:
    """Where and as whom to call.

    Attributes
    ----------
    urls : tuple of str
        Base URLs of nodes, tried in order.
    key : str
        Operators' bearer key.
    """

    urls: tuple[str, ...]
    key: str


@dataclasses.dataclass(frozen=True)
class Done:
    """The node did what was asked."""

    status: int
    content: Content


@dataclasses.dataclass(frozen=True)
class Refused:
    """The node refused; its answer has a code and a message."""

    status: int
    code: str
    message: str
    content: Content


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No node gave an answer.

    Attributes
    ----------
    reasons : tuple of str
        One for each URL.
    maybe_done : bool
        A node may have received the call.
    """

    reasons: tuple[str, ...]
    maybe_done: bool


@dataclasses.dataclass(frozen=True)
class BadUrl:
    """A URL cannot be used."""

    message: str


Answer = Done | Refused | Unreachable


def parse_address(url: str) -> http_client.Address | BadUrl:
    """Return host and port of a base URL."""
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
    """Call a node; a call without an answer is repeated at the next URL.

    Repeating is safe because proposals carry a nonce and the other operations
    have the same effect when they run twice.
    """
    return trio.run(functools.partial(_call_any, settings, method, path, body, wait_s))


async def _call_any(
    settings: Settings, method: str, path: str, body: Content | None, wait_s: float
) -> Answer:
    reasons: list[str] = []
    maybe_done = False
    last: Done | Refused | None = None
    for url in settings.urls:
        reply = await _call_one(settings, url, method, path, body, wait_s)
        match reply:
            case http_client.FullResponse():
                last = _read_answer(reply)
                if not _should_try_next(last):
                    return last
                reasons.append(f"{url}: {last.message}")
            case http_client.Lost(reason=reason):
                maybe_done = True
                reasons.append(f"{url}: {reason}")
            case http_client.NotSent(reason=reason) | BadUrl(message=reason):
                reasons.append(f"{url}: {reason}")
            case _:
                reasons.append(f"{url}: {reply}")
    if last is not None and not maybe_done:
        return last
    return Unreachable(tuple(reasons), maybe_done)


def _should_try_next(answer: Done | Refused) -> typing.TypeGuard[Refused]:
    """Return whether another node may succeed where this one refused."""
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


def _read_answer(reply: http_client.FullResponse) -> Done | Refused:
    try:
        content = msgspec.json.decode(reply.body, type=Content)
    except msgspec.MsgspecError:
        text = reply.body[:200].decode(errors="replace")
        return Refused(reply.status, "not_json", f"unexpected answer: {text}", {})
    if reply.status < http.HTTPStatus.BAD_REQUEST:
        return Done(reply.status, content)
    error = content.get("error", {})
    code = str(error.get("code", reply.status))
    message = str(error.get("message", "no message"))
    return Refused(reply.status, code, message, content)


def query(path: str, fields: collections.abc.Mapping[str, object]) -> str:
    """Append query parameters; those that are None are left out."""
    given = {k: v for k, v in fields.items() if v is not None}
    return f"{path}?{urllib.parse.urlencode(given)}" if given else path
