"""Ages of the rows of nodes over restores of the platform's store."""

import collections.abc


class Rows:
    """Rows of nodes that count as alive.

    Nodes whose row a restored store has lost count until they have written it again, as
    limits over all nodes would be exceeded otherwise.

    Parameters
    ----------
    max_age_ms : float
        Age at which a row is ignored, in milliseconds.
    """

    def __init__(self, max_age_ms: float) -> None:
        self._max_age_ms = max_age_ms
        self._epoch = 0
        self._alive: dict[str, float] = {}
        self._kept: dict[str, float] = {}
        self._first_read_ms: dict[tuple[str, float], float] = {}

    def update(
        self,
        rows: collections.abc.Mapping[str, float],
        clock_ms: float,
        epoch: int,
        clock_epoch: int,
    ) -> dict[str, float]:
        """Return the nodes that are alive, with the times of their rows.

        Parameters
        ----------
        rows : mapping of str to float
            Time on the store's clock at which each node wrote its row.
        clock_ms : float
            The store's clock when the rows were read.
        epoch, clock_epoch : int
            Epoch of the store, and the one since which its clock has gone on steadily.
        """
        if epoch > self._epoch:
            is_same_clock = clock_epoch <= self._epoch
            self._kept = {
                node_id: seen_ms if is_same_clock else clock_ms
                for node_id, seen_ms in self._alive.items()
            }
            self._epoch = epoch
        # A row from the future was written before the clock went back.
        self._first_read_ms = {
            (node_id, seen_ms): self._first_read_ms.get((node_id, seen_ms), clock_ms)
            for node_id, seen_ms in rows.items()
            if seen_ms > clock_ms
        }
        times = {
            node_id: self._first_read_ms.get((node_id, seen_ms), seen_ms)
            for node_id, seen_ms in rows.items()
        }
        self._alive = {n: at for n, at in times.items() if self._is_alive(at, clock_ms)}
        self._kept = {
            node_id: seen_ms
            for node_id, seen_ms in self._kept.items()
            if node_id not in self._alive and self._is_alive(seen_ms, clock_ms)
        }
        self._alive |= self._kept
        return self._alive

    def _is_alive(self, seen_ms: float, clock_ms: float) -> bool:
        return seen_ms >= clock_ms - self._max_age_ms
