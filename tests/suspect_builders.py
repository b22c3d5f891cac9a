"""Builders of suspects of crashes."""

from hypothesis import strategies as st

from snipelug_core import quarantine

BAD = "bad"
SOUND = ("a", "b", "c")
MAX_SOUND_PARTS = 2
SOUND_PARTS = st.frozensets(st.sampled_from(SOUND), max_size=MAX_SOUND_PARTS)


def suspicions(suspect: str) -> st.SearchStrategy[quarantine.Suspicion]:
    """Return suspicions of a suspect that differ in crashes, company and clears."""
    company = st.frozensets(st.sampled_from("xyz")).map(lambda c: c | {suspect})
    crash_ids = st.sampled_from(["1", "2", "3", "4"])
    return st.builds(
        _build,
        st.just(suspect),
        st.dictionaries(crash_ids, company, max_size=4),
        st.frozensets(crash_ids, max_size=2),
        st.dictionaries(crash_ids, st.integers(1, 3), max_size=4),
    )


def _build(
    suspect: str,
    crashes: dict[str, frozenset[str]],
    cleared: frozenset[str],
    generations: dict[str, int],
) -> quarantine.Suspicion:
    known = {c: company for c, company in crashes.items() if c not in cleared}
    numbers = {c: number for c, number in generations.items() if c in known}
    return quarantine.Suspicion(suspect, known, cleared, numbers)
