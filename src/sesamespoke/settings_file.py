"""Reading a process's settings from a file of JSON with comments."""

from pathlib import Path

from pydantic import TypeAdapter

from sesamespoke.problems import Problem, validate_text
from sesamespoke.settings import Settings

_ADAPTER = TypeAdapter(Settings)


def load_settings(path: str | Path) -> Settings | tuple[Problem, ...]:
    """Return the settings of a file, or everything that is wrong there."""
    try:
        text = Path(path).read_text('utf-8')
    except OSError as exc:
        found = exc.strerror or type(exc).__name__
        return (Problem(str(path), '', 1, found, 'a readable file'),)
    except UnicodeDecodeError:
        return (Problem(str(path), '', 1, 'other bytes', 'UTF-8 text'),)
    return check_settings(str(path), text)


def check_settings(name: str, text: str) -> Settings | tuple[Problem, ...]:
    """Return the settings in a text, or everything that is wrong there."""
    return validate_text(name, text, _ADAPTER)
