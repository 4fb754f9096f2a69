"""Draws a time line: a lane per host, a mark per event."""

from collections.abc import Sequence
from pathlib import Path
from typing import Final

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from sesamespoke.timeline import Event

WIDTH_INCHES: Final = 12.0
LANE_INCHES: Final = 0.35
MARGIN_INCHES: Final = 1.6
MS_PER_SECOND: Final = 1000
COLOURS: Final = 10
MARKERS: Final = 'osD^v<>P*X'


def plot_events(events: Sequence[Event], path: Path) -> None:
    """Write a picture of the events, whose format the suffix names."""
    lanes = sorted({(event.data_centre, event.host) for event in events})
    height = MARGIN_INCHES + LANE_INCHES * max(len(lanes), 1)
    figure = Figure((WIDTH_INCHES, height), layout='constrained')
    canvas = FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    begins_ms = min((event.stamp.wall_ms for event in events), default=0)
    for number, kind in enumerate(sorted({event.kind for event in events})):
        marked = [event for event in events if event.kind == kind]
        colour = number % COLOURS
        axes.plot(
            [_seconds(event, begins_ms) for event in marked],
            [lanes.index((event.data_centre, event.host)) for event in marked],
            linestyle='none',
            marker=MARKERS[(number // COLOURS) % len(MARKERS)],
            color=f'C{colour}',
            alpha=0.7,
            label=kind,
        )
    axes.set_yticks(
        range(len(lanes)),
        [' / '.join(lane) for lane in lanes],
    )
    axes.set_xlabel(f'seconds after Unix time {begins_ms} ms')
    axes.grid(alpha=0.3)
    if events:
        figure.legend(loc='outside right upper', fontsize='small')
    canvas.print_figure(path)


def _seconds(event: Event, begins_ms: int) -> float:
    """Return an event's time on the axis."""
    return (event.stamp.wall_ms - begins_ms) / MS_PER_SECOND
