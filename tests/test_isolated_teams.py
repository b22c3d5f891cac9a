"""Tests that isolated teams share no KV cache with others, before and after changes."""

import dataclasses

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import catalog, kv_index
from snipelug_relay import job, ports, selection, state
from tests import platform_world, relay_builders

TEAMS = ("ann", "bob", "cyd")


def catalog_of(version: int, isolated: frozenset[str]) -> catalog.Catalog:
    teams = tuple(catalog.Team(name, is_isolated=name in isolated) for name in TEAMS)
    return catalog.Catalog(version, teams=teams)


@dataclasses.dataclass
class Use:
    team: str | None
    owner: str


class Teams(stateful.RuleBasedStateMachine):
    """State machine: three nodes, of which some lag behind the configuration.

    A request uses what was made by the same owner before, at any node. One at a node
    with the newest configuration must use nothing across an isolated team's wall.
    """

    def __init__(self) -> None:
        super().__init__()
        self.newest = catalog_of(1, frozenset())
        self.nodes = [self.newest] * 3
        self.made: list[Use] = []

    @stateful.rule(isolated=st.frozensets(st.sampled_from(TEAMS)))
    def change(self, isolated: frozenset[str]) -> None:
        self.newest = catalog_of(self.newest.version + 1, isolated)

    @stateful.rule(
        name=st.sampled_from(TEAMS), is_listed=st.booleans(), is_isolated=st.booleans()
    )
    def replace_team(self, name: str, is_listed: bool, is_isolated: bool) -> None:
        """Remove a team, or add one that was removed."""
        others = [team for team in self.newest.teams if team.name != name]
        added = [catalog.Team(name, is_isolated=is_isolated)] if is_listed else []
        teams = (*others, *added)
        self.newest = catalog.Catalog(self.newest.version + 1, teams=teams)

    @stateful.rule(number=st.integers(0, 2))
    def update(self, number: int) -> None:
        """Let a node read the newest configuration, or start with it."""
        self.nodes[number] = self.newest

    @stateful.rule(number=st.integers(0, 2), name=st.sampled_from([*TEAMS, None]))
    def ask(self, number: int, name: str | None) -> None:
        known = self.nodes[number]
        team = next((team for team in known.teams if team.name == name), None)
        if team is None and name is not None:
            return
        owner = known.owner_of(team)
        if known is self.newest:
            isolated = {item.name for item in known.teams if item.is_isolated}
            for use in self.made:
                if use.owner == owner and use.team != name:
                    assert use.team not in isolated
                    assert name not in isolated
        self.made.append(Use(name, owner))


Teams.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=30, deadline=None, derandomize=True
)
TestTeams = Teams.TestCase


def test_owner_follows_from_the_isolated_teams_alone() -> None:
    """Guards against nodes that differ, as some have not seen earlier configurations.

    Changes of other things cost no team the parts that it shares.
    """
    first = catalog_of(1, frozenset({"ann"}))
    added = catalog.Catalog(9, teams=(*reversed(first.teams), catalog.Team("dan")))
    for name in (None, "bob", "ann"):
        team = next((team for team in first.teams if team.name == name), None)
        assert first.owner_of(team) == added.owner_of(team)


def test_request_of_a_removed_team_keeps_its_wall() -> None:
    """Guards against shared parts of a request whose isolated team was removed."""
    team = catalog.Team("ann", is_isolated=True)
    without = catalog.Catalog(2, teams=(catalog.Team("bob"),))
    assert without.owner_of(team) not in (without.shared_owner, catalog.SHARED)


def isolating(*names: str) -> list[dict[str, object]]:
    return [
        {
            "name": name,
            "api_keys": [f"key-{name}"],
            "priority": 1,
            "isolated": name in names,
        }
        for name in TEAMS
    ]


async def wait_for_version(world: platform_world.World, version: int) -> None:
    """Wait until all nodes have read a version of the configuration."""

    def is_in_force() -> bool:
        catalogs = (item._state.catalog for item in world.nodes)
        return all(known and known.version >= version for known in catalogs)

    await platform_world.wait_until(is_in_force)


async def salt_of(
    world: platform_world.World, caller: platform_world.Caller, team: str
) -> str:
    """Send a prompt of a team; return the salt that its engine gets."""
    headers = {"authorization": f"Token key-{team}"}
    found = await caller.send_prompt("/ask/", **headers)
    assert getattr(found, "status", None) == 200
    (engine,) = world.engines
    return engine.executed[-1].headers["cache-salt"]


async def salts_at(
    world: platform_world.World, callers: list[platform_world.Caller]
) -> dict[str, str]:
    """Return the salt of each team, which must be the same at all nodes."""
    found = [
        {team: await salt_of(world, caller, team) for team in TEAMS}
        for caller in callers
    ]
    assert all(item == found[0] for item in found)
    return found[0]


async def test_parts_of_before_are_not_used_once_a_team_is_isolated() -> None:
    """Guards against parts that an isolated team left to others before (review/7).

    It becomes isolated, shares again and is isolated once more; a node starts late.
    """
    async with platform_world.deployment(apps=0, engines=1, nodes=2) as world:
        callers = [platform_world.Caller(item) for item in world.nodes]
        made: dict[str, set[str]] = {}
        version = 1
        for isolated in ([], ["ann"], [], ["ann"], ["ann", "bob"], ["bob"]):
            version += 1
            world.configure(version, tenants=isolating(*isolated))
            await wait_for_version(world, version)
            if version == 5:
                await world.add_node("late")
                await world.wait_ready(2)
                callers.append(platform_world.Caller(world.nodes[2]))
            salts = await salts_at(world, callers)
            for team, salt in salts.items():
                others = made.get(salt, set()) - {team}
                assert not others & set(isolated)
                assert not (others and team in isolated)
                made.setdefault(salt, set()).add(team)
            shared = {salts[team] for team in TEAMS if team not in isolated}
            assert len(shared) == 1, "teams that are not isolated share no parts"


async def test_other_changes_leave_shared_parts_in_use() -> None:
    """Guards against parts that are computed anew after a change of something else."""
    async with platform_world.deployment(apps=0, engines=1) as world:
        callers = [platform_world.Caller(world.nodes[0])]
        world.configure(2, tenants=isolating("ann"))
        await wait_for_version(world, 2)
        before = await salts_at(world, callers)
        more = {"name": "dan", "api_keys": ["key-dan"], "priority": 3}
        changed = [item | {"priority": 4} for item in isolating("ann")]
        world.configure(3, tenants=[more, *reversed(changed)])
        await wait_for_version(world, 3)
        assert await salts_at(world, callers) == before


def test_request_that_waits_uses_the_wall_in_force_when_it_is_sent() -> None:
    """Guards against a request that arrived before its team became isolated."""
    cfg = ports.Settings("n1", "a", ("", 0), ("", 0), ("", 0))
    node_state = state.State(cfg)
    selector = selection.Selector(cfg, node_state)
    request = ports.CallerRequest(
        "r1", "POST", "/ask/", "h", "/ask/", None, 1.0, None, "m", (), 0, (), b""
    )
    before = catalog_of(1, frozenset())
    work = job.Job(
        request,
        relay_builders.route(),
        before.teams[0],
        "engines",
        0.0,
        1.0,
        1.0,
    )
    node_state.catalog = before
    assert selector.salt(work, 1) == kv_index.salt("m", 1)
    node_state.catalog = KNOWN
    assert selector.salt(work, 1) not in (OLD, NEW)


KNOWN = catalog_of(2, frozenset({"ann"}))
OLD, NEW = (
    kv_index.salt("m", 1, owner) for owner in (catalog.SHARED, KNOWN.shared_owner)
)


def state_with(now: float, *keys: kv_index.PartKey) -> kv_index.StoreState:
    (state,) = relay_builders.fresh_index(now).store_states.values()
    for key in keys:
        state.add(key, 10, now)
    return state


NEWER = [(NEW, f"p{number}") for number in range(kv_index.MIN_NEWER_PARTS)]


def test_parts_of_owners_that_are_gone_are_freed() -> None:
    """Guards against stores that stay full of parts that nobody may use any more."""
    own = (kv_index.salt("m", 1, KNOWN.owner_of(KNOWN.teams[0])), "own")
    gone = (OLD, "p")
    state = state_with(0.0, gone, own, ("other writer", "x"), *NEWER)
    delay_s = kv_index.OWNER_FREE_DELAY_S
    assert list(kv_index.unowned_parts(state, KNOWN, 5.0, 4.9 + delay_s)) == []
    assert list(kv_index.unowned_parts(state, KNOWN, 5.0, 5.1 + delay_s)) == [gone]


def test_parts_are_not_freed_before_others_can_see_why() -> None:
    """Guards against parts that are freed while a node that lags has them read."""
    state = state_with(0.0, (OLD, "p"), *NEWER[:-1])
    assert list(kv_index.unowned_parts(state, KNOWN, 0.0, 1e6)) == []


@pytest.mark.parametrize("reported_at", [10.0, 13.0])
def test_lagging_node_reads_no_part_that_may_be_freed(reported_at: float) -> None:
    """Guards against a read of a part that a node with a newer configuration frees.

    The node lags since 9 s; the others report parts of the new owner at some time.
    """
    index = relay_builders.fresh_index(0.0)
    (state,) = index.store_states.values()
    for key in NEWER:
        state.add(key, 10, reported_at)
    frees_at = reported_at + kv_index.OWNER_FREE_DELAY_S
    assert index.has_other_owner(catalog.SHARED, 9.0)
    last_read_ends_at = (
        max(reported_at + kv_index.MAX_POLL_AGE_S, 9.0 + kv_index.OWNER_READ_S)
        + kv_index.FETCH_TIMEOUT_S
    )
    assert last_read_ends_at < frees_at


def test_outage_without_a_change_does_not_stop_reads() -> None:
    """Guards against prompts that are computed as the platform's store is away."""
    index = relay_builders.fresh_index(0.0)
    (state,) = index.store_states.values()
    state.add((OLD, "p"), 10, 8.0)
    assert not index.has_other_owner(catalog.SHARED, 9.0)
