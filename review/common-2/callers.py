"""Maps connections to the processes that opened them, and sends stream requests."""

import collections.abc
import os
import pathlib

import deployment
from snipelug_net import http_client


def find_owner(port: int, processes: collections.abc.Mapping[int, str]) -> str | None:
    """Return which of the processes of the test has a socket with a local port.

    Parameters
    ----------
    processes : mapping of int to str
        Names by process id.
    """
    inodes = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].partition(":")[2], 16) == port:
            inodes.add(f"socket:[{fields[9]}]")
    for pid, name in processes.items():
        folder = pathlib.Path(f"/proc/{pid}/fd")
        for item in folder.iterdir():
            try:
                if os.readlink(item) in inodes:
                    return name
            except OSError:
                continue
    return None


async def send_stream(
    node: "deployment.Node",
    path: str,
    request_id: str,
    parts: collections.abc.Sequence[tuple[str, int]],
    model: str,
    key: str = deployment.KEY,
    body_bytes: int = 700,
) -> str:
    """Send a stream request and return its outcome."""
    tokens = sum(count for _, count in parts)
    headers = {
        "host": deployment.HOST,
        "request-id": request_id,
        "request-deadline": "8000",
        "authorization": f"Token {key}",
        "model": model,
        "token-usage": f"{tokens},5",
        "prompt-prefix": ",".join(f"{part}:{count}" for part, count in parts),
    }
    call = http_client.Call(
        (node.ip, node.port), "POST", path, headers, b"x" * body_bytes, 8.5
    )
    pool = http_client.Pool(1.0)
    full = await pool.fetch(call)
    await pool.aclose()
    return str(full.status) if isinstance(full, http_client.FullResponse) else str(full)
