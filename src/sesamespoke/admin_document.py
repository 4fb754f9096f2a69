"""The document by the administration API: reading and changing it."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict
from types import MappingProxyType
from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from sesamespoke.admin_http import (
    TEXT_TYPE,
    AdminRequest,
    JSONValue,
    Reply,
    fail,
)
from sesamespoke.document import SECTIONS, check_document
from sesamespoke.document_root import Root
from sesamespoke.editing import (
    Accepted,
    Change,
    ChangeIdReused,
    NotAccepted,
    Overtaken,
    Result,
)
from sesamespoke.problems import Problem
from sesamespoke.rollout import Rollout
from sesamespoke.store import Absent, StoreUnavailable

CHANGE_ID_HEADER = 'X-Change-Id'
BASE_HEADER = 'If-Match'

_STRICT = ConfigDict(extra='forbid', strict=True)

ChangeId = Annotated[str, Field(pattern=r'^[\x21-\x7e]{1,64}$')]


@dataclass(frozen=True, config=_STRICT)
class ChangeBody:
    """A change of several sections, as it is sent."""

    base: Annotated[int, Field(ge=0)]
    change_id: ChangeId
    sections: Mapping[str, str]


@dataclass(frozen=True, config=_STRICT)
class CheckBody:
    """Sections to be checked together with the others in force."""

    sections: Mapping[str, str]


_CHANGE = TypeAdapter(ChangeBody)
_CHECK = TypeAdapter(CheckBody)


class DocumentApi:
    """The endpoints below ``/v1/document`` and the history."""

    def __init__(self, rollout: Rollout) -> None:
        """Show and change the document of this rollout."""
        self._rollout = rollout

    async def get_document(self, req: AdminRequest) -> Reply:
        """Return the sections in force, or of an earlier revision."""
        root = await self._find_root(req.query.get('revision'))
        if isinstance(root, Reply):
            return root
        texts = await self._rollout.editor.read_texts(root)
        if isinstance(texts, StoreUnavailable):
            return _unavailable(texts)
        sections = {
            name: _show_section(root, name, text)
            for name, text in texts.items()
        }
        return Reply(200, {'revision': root.revision, 'sections': sections})

    async def get_section(self, req: AdminRequest) -> Reply:
        """Return one section's text as its owners wrote it."""
        section = req.names[0]
        root = await self._find_root(req.query.get('revision'))
        if isinstance(root, Reply):
            return root
        texts = await self._rollout.editor.read_texts(root)
        if isinstance(texts, StoreUnavailable):
            return _unavailable(texts)
        if section not in texts:
            return _no_section(section)
        headers = {'ETag': f'"{root.revision}"'}
        return Reply(200, texts[section].encode(), TEXT_TYPE, headers)

    async def put_section(self, req: AdminRequest) -> Reply:
        """Replace one section, unless it was changed since ``If-Match``."""
        base = req.headers.get(BASE_HEADER, '').strip('W/"')
        if not base.isdecimal():
            text = f'{BASE_HEADER} must hold the revision that was edited'
            return fail(428, 'base_required', text)
        change_id = req.headers.get(CHANGE_ID_HEADER, '')
        sections = {req.names[0]: req.body.decode(errors='replace')}
        return await self._apply(
            req,
            lambda: ChangeBody(int(base), change_id, sections),
        )

    async def post_document(self, req: AdminRequest) -> Reply:
        """Replace several sections in one change."""
        return await self._apply(req, lambda: _CHANGE.validate_json(req.body))

    async def post_check(self, req: AdminRequest) -> Reply:
        """Check sections together with the others that are in force."""
        try:
            body = _CHECK.validate_json(req.body)
        except ValidationError as exc:
            return _bad_body(exc)
        texts: Mapping[str, str] = {}
        if self._rollout.root is not None:
            texts = self._rollout.cache.texts(self._rollout.root) or {}
        checked = check_document({**texts, **body.sections})
        problems = checked if isinstance(checked, tuple) else ()
        return Reply(200, {'problems': _show_problems(problems)})

    async def get_history(self, req: AdminRequest) -> Reply:
        """Return the latest revisions, the newest first."""
        history = await self._rollout.documents.read_history()
        if isinstance(history, StoreUnavailable):
            return _unavailable(history)
        shown = [_show_revision(root) for root in reversed(history)]
        return Reply(200, {'revisions': shown})

    async def _find_root(self, revision: str | None) -> Root | Reply:
        root = self._rollout.root
        if root is None:
            return fail(503, 'not_ready', 'no revision is in force here yet')
        if revision is None or revision == str(root.revision):
            return root
        if not revision.isdecimal():
            return fail(400, 'bad_revision', 'the revision must be a number')
        found = await self._rollout.documents.read_revision(int(revision))
        if isinstance(found, StoreUnavailable):
            return _unavailable(found)
        if isinstance(found, Absent):
            text = 'the history does not hold this revision'
            return fail(404, 'unknown_revision', text)
        return found

    async def _apply(
        self,
        req: AdminRequest,
        read: Callable[[], ChangeBody],
    ) -> Reply:
        try:
            body = read()
        except ValidationError as exc:
            return _bad_body(exc)
        for section in body.sections:
            if section not in SECTIONS:
                return _no_section(section)
            if section not in req.caller.sections:
                text = f'the token does not open the section {section}'
                return fail(403, 'not_your_section', text, section=section)
        change = Change(
            body.change_id,
            req.caller.name,
            body.base,
            body.sections,
        )
        return _show_outcome(await self._rollout.apply(change))


def _show_section(root: Root, name: str, text: str) -> JSONValue:
    ref = root.sections[name]
    return {'text': text, 'revision': ref.revision, 'author': ref.author}


def _show_revision(root: Root) -> JSONValue:
    return {
        'revision': root.revision,
        'parent': root.parent,
        'author': root.author,
        'accepted_at': root.accepted_at,
        'sections': [
            name
            for name, ref in root.sections.items()
            if ref.revision == root.revision
        ],
    }


def _show_problems(problems: Iterable[Problem]) -> list[JSONValue]:
    return [asdict(problem) for problem in problems]


def _show_outcome(outcome: Result) -> Reply:
    if isinstance(outcome, tuple):
        text = 'the document would not be valid'
        problems = _show_problems(outcome)
        return fail(422, 'invalid_document', text, problems=problems)
    show: Callable[[Any], Reply] = _OUTCOMES[type(outcome)]
    return show(outcome)


def _show_accepted(outcome: Accepted) -> Reply:
    shown = {'revision': outcome.revision, 'repeated': outcome.repeated}
    return Reply(200, shown)


def _show_overtaken(outcome: Overtaken) -> Reply:
    winner = asdict(outcome)
    text = 'the section was changed meanwhile'
    return fail(409, 'conflict', text, **winner)


def _show_reused(outcome: ChangeIdReused) -> Reply:
    text = 'the change id belongs to another change'
    return fail(409, 'change_id_reused', text, revision=outcome.revision)


def _show_not_accepted(outcome: NotAccepted) -> Reply:
    applied = outcome.may_have_applied
    code = 'may_have_been_accepted' if applied else 'not_accepted'
    return fail(503, code, outcome.detail, may_have_applied=applied)


_OUTCOMES: Mapping[type, Callable[[Any], Reply]] = MappingProxyType(
    {
        Accepted: _show_accepted,
        Overtaken: _show_overtaken,
        ChangeIdReused: _show_reused,
        NotAccepted: _show_not_accepted,
    },
)


def _unavailable(outage: StoreUnavailable) -> Reply:
    return fail(503, 'store_unavailable', outage.detail)


def _no_section(section: str) -> Reply:
    known = ', '.join(SECTIONS)
    text = f'no section {section!r}; there are {known}'
    return fail(404, 'unknown_section', text)


def _bad_body(exc: ValidationError) -> Reply:
    errors = exc.errors(include_url=False, include_input=False)
    details = [f'{error["loc"]}: {error["msg"]}' for error in errors]
    return fail(400, 'bad_request', 'the request is malformed', details=details)
