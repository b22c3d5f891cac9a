"""What a node keeps after the platform's store was restored from a copy.

The copy lacks what was written since it was made. The operator and the upstreams write
it again soon, so until then what the node knew counts beside the table.
"""

RESTORE_GRACE_S = 5.0
"""Time after a restore for which a node keeps what the copy lacks.

Upstreams write every 1.2 s, and the platform removes the entry of a process that is
gone after three such intervals (3.6 s).
"""


def replaces_configuration(
    version: int, known_version: int, epoch: int, known_epoch: int, is_equal: bool
) -> bool:
    """Return whether a configuration that was read replaces the one in force.

    A version that was lost in a restore can be given to another content.

    Parameters
    ----------
    epoch, known_epoch : int
        Epochs of the store in which the two were read.
    is_equal : bool
        Whether their content is the same.
    """
    if version != known_version:
        return version > known_version
    return epoch > known_epoch and not is_equal


class ZonesOut:
    """The availability zones that receive no new requests.

    A zone that was out before a restore and is not in the copy stays out until the
    operator has written or deleted its row, or for ``RESTORE_GRACE_S``.
    """

    def __init__(self) -> None:
        self._listed: set[str] = set()
        self._kept_until: dict[str, float] = {}

    @property
    def zones(self) -> frozenset[str]:
        """The zones that are out."""
        return frozenset(self._listed | self._kept_until.keys())

    def replace(self, listed: set[str], now: float, is_restored: bool) -> None:
        """Apply the whole table.

        Parameters
        ----------
        is_restored : bool
            Whether this is the first read of the table since a restore.
        """
        if is_restored:
            until = now + RESTORE_GRACE_S
            self._kept_until = dict.fromkeys(self.zones, until)
        self._listed = set(listed)
        for zone in listed:
            self._kept_until.pop(zone, None)

    def add(self, zone: str) -> None:
        """Apply a row that was written."""
        self._listed.add(zone)
        self._kept_until.pop(zone, None)

    def discard(self, zone: str) -> None:
        """Apply a row that was deleted."""
        self._listed.discard(zone)
        self._kept_until.pop(zone, None)

    def expire(self, now: float) -> None:
        """Stop to keep zones whose grace period has ended."""
        for zone in [z for z, until in self._kept_until.items() if until <= now]:
            del self._kept_until[zone]
