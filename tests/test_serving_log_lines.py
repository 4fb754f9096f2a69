"""Log lines: rate limited, and written without blocking."""

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


def test_lines_are_complete_and_dropped_lines_are_counted() -> None:
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
        drop_events = [
            each for each in events if each['event'] == 'lines_dropped'
        ]
        written = sum(each['event'] == 'x' for each in events)
        assert written >= BURST_LINES
        dropped = sum(each['count'] for each in drop_events)
        assert dropped == BURST_LINES + 500 - written
        assert events[-1]['event'] == 'last'

    asyncio.run(steps())


def test_request_lines_do_not_use_up_the_limit_for_other_lines() -> None:
    """Lines on an overloaded host were dropped along with request lines."""

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
        fields = {'event': 'host_overloaded'}
        assert writer.limit_request_lines(None, 'info', fields) == fields
        before = len(writer._lines)
        writer.msg('on a change')
        assert writer._lines[-1] == b'on a change\n'
        assert len(writer._lines) > before

    asyncio.run(steps())


def test_a_stalled_reader_does_not_block_the_writer() -> None:
    async def steps() -> None:
        reader, fd = os.pipe()
        writer = LineWriter(fd)
        line = json.dumps({'event': 'x' * 10_000})
        for _ in range(400):
            writer.msg(line)
            writer.flush()
        buffered = sum(map(len, writer._lines))
        assert buffered <= MAX_BUFFERED_BYTES + len(line) + 100
        os.close(reader)
        writer.msg(line)
        writer.flush()

    asyncio.run(steps())
