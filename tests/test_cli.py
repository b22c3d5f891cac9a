"""Tests of the command line against a real admin API over a socket."""

import collections.abc
import contextlib
import functools
import pathlib

import msgspec
import pytest
import trio
import typer.testing

from snipelug_cli import calls, main
from snipelug_core import change, contract, refusal
from snipelug_net import http_server
from snipelug_node import admin
from tests import fleet

KEY = "operators"
KEY_HASH = contract.hash_key("secret")
INVENTORY = change.Inventory(frozenset({"tamar-a", "esk-b"}), frozenset({"e1", "e2"}))
RUNNER = typer.testing.CliRunner()


class FakeProviders:
    """In-memory quarantine and claims in place of the other parts of a node."""

    def __init__(self) -> None:
        self.fingerprints = ["f1"]
        self.claims = ["k1"]

    async def quarantined(self) -> admin.Rows:
        return [{"fingerprint": item, "crashes": 2} for item in self.fingerprints]

    async def release(self, fingerprint: str, author: str) -> refusal.Refusal | None:
        if fingerprint not in self.fingerprints:
            return refusal.refuse(refusal.NOT_FOUND, f"{fingerprint} is not there")
        self.fingerprints.remove(fingerprint)
        return None

    async def unknown_claims(self) -> admin.Rows | refusal.Refusal:
        return [{"team": "t1", "key": item} for item in self.claims]

    async def settle(
        self, team: str, key: str, ran: bool, author: str
    ) -> refusal.Refusal | None:
        if ran:
            return refusal.refuse(refusal.IN_PROGRESS, "the claim is 3 s old")
        self.claims.remove(key)
        return None

    def providers(self) -> admin.Providers:
        return admin.Providers(
            upstreams=lambda: [{"id": "e1", "state": "cold"}],
            leases=lambda: [],
            queues=lambda: [{"team": "t1", "waiting": 0}],
            inventory=lambda: INVENTORY,
            quarantined=self.quarantined,
            release=self.release,
            unknown_claims=self.unknown_claims,
            settle=self.settle,
        )


class Operator:
    """Runs commands in a worker thread, while the nodes run in the main thread."""

    def __init__(self, cluster: fleet.Fleet, urls: list[str]) -> None:
        self.cluster = cluster
        self.env = {
            "SNIPELUG_ADMIN_URL": ",".join(urls),
            "SNIPELUG_ADMIN_KEY": KEY,
            "SNIPELUG_AUTHOR": "ann",
        }

    async def run(self, *args: str, code: int = 0) -> str:
        invoke = functools.partial(
            RUNNER.invoke, main.app, [*args], env=self.env, input="secret\n"
        )
        result = await trio.to_thread.run_sync(invoke)
        assert result.exit_code == code, (result.output, result.exception)
        return result.output

    async def json(self, *args: str) -> dict[str, object]:
        return msgspec.json.decode(await self.run(*args, "--json"), type=dict)


@contextlib.asynccontextmanager
async def operator(size: int = 1) -> collections.abc.AsyncIterator[Operator]:
    async with fleet.fleet(size) as cluster, trio.open_nursery() as nursery:
        urls = []
        for running in cluster.nodes.values():
            api = admin.Admin(
                running.keeper, running.peers, KEY, FakeProviders().providers()
            )
            server = http_server.Server(api.handle)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            urls.append(f"http://127.0.0.1:{port}")
        yield Operator(cluster, urls)
        nursery.cancel_scope.cancel()


CONTRACT = f"""
[[models]]
name = "m1"
[[contracts]]
team = "t1"
key_hashes = ["{KEY_HASH}"]
models = ["m1"]
limits = {{ in_flight = 8 }}
"""


def write(path: pathlib.Path, text: str) -> str:
    path.write_text(text)
    return str(path)


async def test_contracts_from_files_come_into_force(tmp_path: pathlib.Path) -> None:
    """Guards against contracts that are accepted but not in force on the nodes."""
    file = write(tmp_path / "c.toml", CONTRACT)
    async with operator(2) as cli:
        assert "valid against revision 0" in await cli.run("contracts", "check", file)
        applied = await cli.run("contracts", "apply", file)
        assert "accepted; revision 1 is in force on 2 of 2" in applied
        for running in cli.cluster.nodes.values():
            assert running.keeper.cfg.contracts["t1"].limits.in_flight == 8
        assert "nothing to change" in await cli.run("contracts", "apply", file)
        assert "t1" in await cli.run("contracts", "show")
        shown = await cli.json("contracts", "show", "t1")
        assert shown["revision"] == 1
        assert "PutContract t1" in await cli.run("contracts", "history")
        assert "no contract" in await cli.run("contracts", "show", "t9", code=1)
        assert "m1" in await cli.run("models", "list")
        await cli.run("models", "put", "m1", "--weight-version", "w2")
        await cli.run("contracts", "remove", "t1")
        assert cli.cluster.nodes["n0"].keeper.cfg.contracts == {}
        assert cli.cluster.nodes["n0"].keeper.cfg.models["m1"].weight_version == "w2"


async def test_zones_and_instances() -> None:
    """Guards against a misspelled zone that is accepted without effect."""
    async with operator() as cli:
        assert "unknown zone" in await cli.run("zones", "out", "tamra-a", code=2)
        await cli.run("zones", "out", "tamar-a", "esk-b")
        await cli.run("zones", "in", "esk-b")
        listed = await cli.json("zones", "list")
        assert listed["zones"] == [
            {"name": "esk-b", "state": "in", "listed": True},
            {"name": "tamar-a", "state": "out", "listed": True},
        ]
        await cli.run("instances", "out", "e1")
        await cli.run("instances", "out", "e9", "--force")
        assert "e9" in await cli.run("instances", "list")
        await cli.run("instances", "in", "e1", "e9")
        assert cli.cluster.nodes["n0"].keeper.cfg.instances_out == frozenset()


async def test_conflicting_change_reports_newer_revision() -> None:
    """Guards against overwriting a concurrent change that the operator has not seen."""
    async with operator() as cli:
        await cli.run("zones", "out", "tamar-a", "--expect", "0")
        conflicting = await cli.run("zones", "out", "esk-b", "--expect", "0", code=1)
        assert "revision 1 by ann came first" in conflicting


async def test_exit_codes_for_partial_rollout_and_unreachable_nodes() -> None:
    """Guards against exit codes that report a partial or failed change as success."""
    async with operator(3) as cli:
        cli.cluster.nodes["n2"].scope.cancel()
        args = ("zones", "out", "tamar-a", "--wait", "1")
        assert "in force on: n2" in await cli.run(*args, code=4)
        cli.cluster.table.up = False
        assert "cannot accept" in await cli.run("zones", "out", "esk-b", code=1)
        cli.env["SNIPELUG_ADMIN_URL"] = "http://127.0.0.1:1"
        assert "no node answered" in await cli.run("status", code=3)


async def test_next_node_is_called_when_first_is_down() -> None:
    """Guards against commands that depend on a single node."""
    async with operator() as cli:
        cli.env["SNIPELUG_ADMIN_URL"] = (
            "http://127.0.0.1:1," + cli.env["SNIPELUG_ADMIN_URL"]
        )
        assert "accepted" in await cli.run("zones", "out", "tamar-a")


async def test_status_quarantine_and_claims() -> None:
    """Guards against quarantined requests and claims that operators cannot resolve."""
    async with operator() as cli:
        status = await cli.run("status")
        assert "current by rule store" in status
        assert "cold" in status
        assert (await cli.json("status"))["node"] == "n0"
        assert "f1" in await cli.run("quarantine", "list")
        await cli.run("quarantine", "release", "f1")
        assert "is not there" in await cli.run("quarantine", "release", "f1", code=1)
        assert "k1" in await cli.run("claims", "list")
        assert "3 s old" in await cli.run(
            "claims", "settle", "t1", "k1", "--ran", code=1
        )
        await cli.run("claims", "settle", "t1", "k1", "--not-run")
        await cli.run("claims", "settle", "t1", "k1", code=2)


async def test_wrong_or_missing_key_is_refused() -> None:
    """Guards against an admin API that is accessible without the key."""
    async with operator() as cli:
        cli.env["SNIPELUG_ADMIN_KEY"] = "guess"
        assert "check SNIPELUG_ADMIN_KEY" in await cli.run("status", code=1)
        cli.env["SNIPELUG_ADMIN_KEY"] = ""
        assert "set SNIPELUG_ADMIN_KEY" in await cli.run("status", code=2)
        cli.env["SNIPELUG_ADMIN_KEY"] = KEY
        cli.env["SNIPELUG_ADMIN_URL"] = "127.0.0.1"
        assert "not of the form" in await cli.run("status", code=2)


BAD_CALLS = [
    ("POST", "/admin/v1/changes", b"{", 400, "body: "),
    ("POST", "/admin/v1/changes", b'{"operations": []}', 400, "length >= 1"),
    ("POST", "/admin/v1/claims/settle", b'{"team": "t1"}', 400, "missing required"),
    ("GET", "/admin/v1/changes?limit=x", b"", 400, "limit='x'"),
    ("GET", "/admin/v1/in-force?wait_s=nan", b"", 400, "wait_s='nan'"),
    ("GET", "/admin/v1/nothing", b"", 404, "no operation"),
    ("GET", "/changes", b"", 404, "no operation"),
]


@pytest.mark.parametrize(("method", "target", "body", "status", "text"), BAD_CALLS)
async def test_invalid_call_gets_clear_error(
    method: str, target: str, body: bytes, status: int, text: str
) -> None:
    """Guards against tracebacks, and malformed input that is silently ignored."""
    async with fleet.fleet(1) as cluster:
        node = cluster.nodes["n0"]
        api = admin.Admin(node.keeper, node.peers, KEY, FakeProviders().providers())
        path, query = http_server.parse_target(target)
        headers = {"authorization": f"Bearer {KEY}"}
        request = http_server.Request(method, path, query, headers, body)
        response = await api.handle(request)
        assert response.status == status
        assert isinstance(response.body, bytes)
        error = msgspec.json.decode(response.body)["error"]
        assert text in error["message"]
        assert error["run_state"] == "not_run"


BAD_FILES = [
    ("c.toml", "[[contracts]", ["Expected"]),
    ("c.yaml", "{}", ["must end in .json or .toml"]),
    ("c.json", "[]", ["top level must be an object"]),
    ("c.json", "{}", ["neither contracts nor models"]),
    ("c.json", '{"contract": []}', ["unknown section 'contract'"]),
    ("c.json", '{"contracts": 3}', ["contracts must be a list"]),
    (
        "c.json",
        '{"team": "T 1", "key_hashes": ["x"], "colour": 1, "limits": {"in_flight": 0}}',
        ["team: ", "key_hashes: ", "unknown field 'colour'", "limits: in_flight: "],
    ),
]


@pytest.mark.parametrize(("name", "text", "messages"), BAD_FILES)
def test_invalid_file_lists_all_mistakes(
    tmp_path: pathlib.Path, name: str, text: str, messages: list[str]
) -> None:
    """Guards against reporting only the first error in a file."""
    file = write(tmp_path / name, text)
    result = RUNNER.invoke(main.app, ["contracts", "check", "--offline", file])
    assert result.exit_code == calls.ExitCode.INVALID
    for message in messages:
        assert message in result.output


def test_missing_file_and_key_hash(tmp_path: pathlib.Path) -> None:
    """Guards against tracebacks for missing files, and plain keys in contract files."""
    missing = str(tmp_path / "no.json")
    result = RUNNER.invoke(main.app, ["contracts", "check", "--offline", missing])
    assert result.exit_code == calls.ExitCode.INVALID
    assert "No such file" in result.output
    hashed = RUNNER.invoke(main.app, ["contracts", "hash-key"], input="secret\n")
    assert hashed.output.strip() == KEY_HASH
