"""Tests of the router process as the platform starts and signals it."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROUTER = Path(__file__).parents[1] / 'deploy' / 'router.py'
TIMEOUT_SECONDS = 30


def test_a_reload_signal_during_startup_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    fifo = tmp_path / 'settings.toml'
    os.mkfifo(fifo)
    cmd = [sys.executable, str(ROUTER), '--settings', str(fifo)]
    with subprocess.Popen(cmd, stderr=subprocess.PIPE) as child:
        # The process blocks on its settings file and has no handler yet.
        writer = open_for_writing(fifo)
        child.send_signal(signal.SIGHUP)
        os.write(writer, b'not = settings')
        os.close(writer)
        assert child.wait(TIMEOUT_SECONDS) == 2


def open_for_writing(fifo: Path) -> int:
    """Open a named pipe for writing as soon as another process reads it."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while True:
        try:
            return os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            assert time.monotonic() < deadline
            time.sleep(0.01)
