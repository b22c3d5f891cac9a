"""Ranges of numbers and lengths of texts that other programs write.

Fields of these types are checked when msgspec decodes them. Numbers outside could not
be encoded again, as MessagePack has integers of 64 bits, or would break timers.
"""

import typing

import msgspec

MAX_NAME_LENGTH = 256
MAX_ITEMS = 4096
"""Maximum number of items of lists that are logged or sent to other nodes."""

MAX_NUMBER = 2**63 - 1
MAX_COUNT = 2**53
"""Largest integer up to which floating-point numbers represent all integers."""

MAX_CLOCK_MS = 1e15
MAX_DURATION_S = 1e9
MAX_RATE = 1e9
MAX_BORN_MS = 10**13 - 1
"""Start times have at most 13 digits, so that ids of crashes sort by time."""

Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
"""Name of a service, zone, model, node, prompt part or the like."""

Text = typing.Annotated[str, msgspec.Meta(max_length=4096)]
"""Host, path prefix or API key, which is neither logged nor sent to other nodes."""

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""Version, position, epoch or sequence number."""

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""Number of tokens, bytes, requests and the like."""

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]

Born = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)]
"""Start of a process in Unix milliseconds; 0 if unknown."""

ClockMs = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_CLOCK_MS)]
"""Reading of a clock, in milliseconds."""

ClockS = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_CLOCK_MS / 1e3)]
"""Reading of a clock, in seconds."""

DurationMs = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e3 * MAX_DURATION_S)]
DurationS = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_S)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE)]
"""Bandwidth in Mbit/s, or requests per second."""
