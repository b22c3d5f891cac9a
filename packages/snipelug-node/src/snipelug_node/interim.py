"""Parts that refuse or permit everything, until their own modules are wired in."""

from snipelug_core import contract, refusal
from snipelug_node import admin


class NoCrashes:
    """Crashes are not counted; nothing is repeated after one."""

    def check(self, fingerprint: str) -> refusal.Refusal | None:
        """Permit."""
        del fingerprint
        return None

    async def crashed(self, fingerprint: str, upstream_id: str) -> bool:
        """Forbid a repeat."""
        del fingerprint, upstream_id
        return False


class NoBudget:
    """No retries."""

    def note_request(self, upstream_id: str, now: float) -> None:
        """Ignore a request."""

    def take_retry(self, upstream_id: str, now: float) -> bool:
        """Refuse."""
        del upstream_id, now
        return False


class Unlimited:
    """No limits."""

    async def enter(
        self, team: contract.Contract, cost_tokens: int, deadline: float
    ) -> "Unlimited":
        """Permit."""
        del team, cost_tokens, deadline
        return self

    def leave(self) -> None:
        """Do nothing."""


async def no_rows() -> admin.Rows:
    """Return nothing."""
    return []


async def nothing_to_release(fingerprint: str, author: str) -> refusal.Refusal | None:
    """Refuse."""
    del author
    message = f"fingerprint {fingerprint} is not quarantined"
    return refusal.refuse(refusal.NOT_FOUND, message)
