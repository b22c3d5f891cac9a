"""Runs snipelugd from a checkout whose dependencies are in target/deps."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "target" / "deps")]
sys.path[:0] = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]

from snipelug_node import entry  # noqa: E402

entry.run()
