"""The router as the platform starts it: a process that gets signals."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROUTER = Path(__file__).parents[1] / 'deploy' / 'router.py'
PATIENCE_SECONDS = 30


def test_a_reload_signal_during_the_start_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    fifo = tmp_path / 'settings.toml'
    os.mkfifo(fifo)
    cmd = [sys.executable, str(ROUTER), '--settings', str(fifo)]
    with subprocess.Popen(cmd, stderr=subprocess.PIPE) as child:
        # The process waits here for its settings, with no handler installed.
        writer = open_when_read(fifo)
        child.send_signal(signal.SIGHUP)
        os.write(writer, b'not = settings')
        os.close(writer)
        assert child.wait(PATIENCE_SECONDS) == 2


def open_when_read(fifo: Path) -> int:
    """Open a pipe for writing once another process reads it."""
    ends_at = time.monotonic() + PATIENCE_SECONDS
    while True:
        try:
            return os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            assert time.monotonic() < ends_at
            time.sleep(0.01)
