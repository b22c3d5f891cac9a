"""Starts nodes as the deploy file does, on loopback addresses, for cases 6 to 10."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "target" / "deps")]
sys.path[:0] = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]

import trio  # noqa: E402

from snipelug_net import http_client  # noqa: E402

COMMAND = ["python3", "deploy/snipelugd.py"]
"""The ``run`` of ``deploy/system.toml``; it starts in the repository's root."""

HOST = "pule25.example"
KEY = "nu6wsjnbanfqasnmgkcu"
MEMORY_MB = 150
START_TIMEOUT_S = 20.0
RESTART_S = 0.5

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """\
node_name={name}
role=node
machine_class=front
serves=front
ip_address={ip}
zone={zone}
region=cantabrico
zones.bilbao-1=cantabrico
zones.santander-1=cantabrico
zones.oviedo-1=cantabrico
listen.frontend={ip}:{port}
listen.ready={ip}:{ready_port}
internal_port_range={peer_port},{peer_port}
first_start=true
limits.cpu_cores=2
limits.memory_mb={memory_mb}
limits.file_descriptors=4100
discovery=platform
entry=virtual_ip
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform
bounds.contact_ms=3000
bounds.drain_timeout_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_extra=52
bounds.recovery_s=12
bounds.fencing_enforced=true
bounds.lease_ms=3000
bounds.version_ms=8000
bounds.version_all_ms=11000
platform.address=127.0.0.1:{store_port}
platform.form=table
"""


def free_port(ip: str = "127.0.0.1") -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, *words: object) -> None:
        at = time.monotonic() - self._began_at
        print(f"{at:8.3f}", *words, file=self._file, flush=True)


class Node:
    """A node process, with the settings of a machine of acn-hidrantes."""

    def __init__(self, number: int, store_port: int, zone: str = "bilbao-1") -> None:
        self.ip = f"127.0.0.{10 + number}"
        self.name = f"front-{zone}-{number}"
        self.port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self.folder.name)
        settings = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=zone,
            port=self.port,
            ready_port=self.ready_port,
            peer_port=free_port(self.ip),
            memory_mb=MEMORY_MB,
            store_port=store_port,
        )
        (path / "local.conf").write_text(settings)
        self.log = path / "log"
        self.ends = 0
        self.peak_mb = 0.0
        self.start()

    def start(self) -> None:
        """Start the process, again if it has ended."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        path = pathlib.Path(self.folder.name, "local.conf")
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=env | {"SNIPELUG_CONFIG": str(path)},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )

    async def supervise(self, record: Record) -> None:
        """Do what the platform does: kill a process over its memory, and restart it."""
        while True:
            used_mb = self.resident_mb
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                record.write(f"platform kills {self.name} at {used_mb:.1f} MB")
                self.process.kill()
                self.process.wait()
            if self.process.poll() is not None:
                self.ends += 1
                record.write(f"{self.name} has ended, {self.ends} times so far")
                await trio.sleep(RESTART_S)
                self.start()
            await trio.sleep(0.02)

    @property
    def exit_code(self) -> int | None:
        return self.process.poll()

    @property
    def resident_mb(self) -> float:
        """Memory in use now, in megabytes as the platform counts them."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def wait_ready(self) -> None:
        call = http_client.Call((self.ip, self.ready_port), "GET", "/api/ready")
        pool = http_client.Pool(0.5)
        with trio.move_on_after(START_TIMEOUT_S):
            while True:
                found = await pool.fetch(call)
                if isinstance(found, http_client.FullResponse) and found.status == 200:
                    await pool.aclose()
                    return
                await trio.sleep(0.05)
        log = self.log.read_text(errors="replace")[-2000:]
        raise RuntimeError(f"{self.name} is not ready, {self.exit_code=}: {log}")

    def freeze(self) -> None:
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()
