"""Log lines: bounded, and never waiting for their reader."""

import asyncio
import contextlib
import json
import os

import structlog

from sesamespoke.serving.log_lines import (
    BURST_LINES,
    MAX_BUFFERED_BYTES,
    REQUEST_BURST_LINES,
    LineWriter,
)


def test_lines_come_whole_and_what_is_left_out_is_told() -> None:
    async def steps() -> None:
        reader, fd = os.pipe()
        os.set_blocking(reader, False)
        writer = LineWriter(fd)
        for number in range(BURST_LINES + 500):
            writer.msg(json.dumps({'event': 'x', 'number': number}))
        writer.flush()
        await asyncio.sleep(0.1)
        writer.msg(json.dumps({'event': 'last'}))
        writer.flush()
        lines = os.read(reader, 1_000_000).decode().splitlines()
        events = [json.loads(line) for line in lines]
        told = [each for each in events if each['event'] == 'lines_dropped']
        written = sum(each['event'] == 'x' for each in events)
        assert written >= BURST_LINES
        left_out = sum(each['count'] for each in told)
        assert left_out == BURST_LINES + 500 - written
        assert events[-1]['event'] == 'last'

    asyncio.run(steps())


def test_lines_on_requests_leave_room_for_lines_on_changes() -> None:
    """What told of an overloaded host was left out with the rest."""

    async def steps() -> None:
        _, fd = os.pipe()
        writer = LineWriter(fd)
        passed = 0
        for number in range(5000):
            with contextlib.suppress(structlog.DropEvent):
                writer.limit_request_lines(
                    None, 'info', {'request_id': f'{number}'}
                )
                writer.msg('on a request')
                passed += 1
        assert REQUEST_BURST_LINES <= passed < BURST_LINES
        facts = {'event': 'host_overloaded'}
        assert writer.limit_request_lines(None, 'info', facts) == facts
        before = len(writer._lines)
        writer.msg('on a change')
        assert writer._lines[-1] == b'on a change\n'
        assert len(writer._lines) > before

    asyncio.run(steps())


def test_a_reader_that_is_stuck_holds_nobody_up() -> None:
    async def steps() -> None:
        reader, fd = os.pipe()
        writer = LineWriter(fd)
        line = json.dumps({'event': 'x' * 10_000})
        for _ in range(400):
            writer.msg(line)
            writer.flush()
        kept = sum(map(len, writer._lines))
        assert kept <= MAX_BUFFERED_BYTES + len(line) + 100
        os.close(reader)
        writer.msg(line)
        writer.flush()

    asyncio.run(steps())
