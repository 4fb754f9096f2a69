"""Starts the router from a checkout, where nothing is installed."""

import sys
from pathlib import Path
from signal import SIG_IGN, SIGHUP, signal

# A reload that is asked for during the imports would end the process.
signal(SIGHUP, SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'src'))

from sesamespoke.platform.main import platform_router  # noqa: E402

platform_router()
