"""What the administration API shows of a host and of its peers."""

from importlib import resources

from sesamespoke.admin_http import AdminRequest, JSONValue, Reply, fail
from sesamespoke.admin_sources import AdminSources
from sesamespoke.links import Links
from sesamespoke.rollout import Rollout

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class HostApi:
    """The endpoints that show a host's state."""

    def __init__(
        self,
        rollout: Rollout,
        links: Links,
        sources: AdminSources,
    ) -> None:
        """Show this host's rollout, its peers and the other sources."""
        self._rollout = rollout
        self._links = links
        self._sources = sources

    async def get_status(self, req: AdminRequest) -> Reply:
        """Return this host's state and the revisions of all known hosts."""
        hosts = self._show_hosts()
        wanted = req.query.get('revision')
        if wanted is None:
            return Reply(200, {**self._show_own(), 'hosts': hosts})
        if not wanted.isdecimal():
            return fail(400, 'bad_revision', 'the revision must be a number')
        groups = _group_hosts(int(wanted), hosts)
        self._rollout.peers.ask_revisions(groups['behind'])
        return Reply(200, {'revision': int(wanted), **groups})

    async def get_data_centres(self, req: AdminRequest) -> Reply:
        """Return the data centres as configured and as seen."""
        current = self._rollout.current
        if current is None:
            return fail(503, 'not_ready', 'no revision is in force here yet')
        shown = {
            name: {
                'region': data_centre.region,
                'in_service': data_centre.in_service,
                'hosts': list(self._links.view.hosts(name)),
            }
            for name, data_centre in current.document.data_centres.items()
        }
        content = {'revision': current.number, 'data_centres': shown}
        return Reply(200, content)

    async def get_accounts(self, req: AdminRequest) -> Reply:
        """Return the accounts' service and waiting, as seen here."""
        return Reply(200, {'accounts': self._sources.accounts()})

    async def get_endpoints(self, req: AdminRequest) -> Reply:
        """Return the endpoints' use and limits, as seen here."""
        return Reply(200, {'endpoints': self._sources.endpoints()})

    async def get_quarantine(self, req: AdminRequest) -> Reply:
        """Return the requests that are suspected or refused."""
        return Reply(200, {'quarantine': self._sources.quarantine()})

    async def delete_quarantined(self, req: AdminRequest) -> Reply:
        """Release a request from the quarantine, by its digest."""
        digest = bytes.fromhex(req.names[0])
        if self._sources.release(digest):
            return Reply(200, {'released': req.names[0]})
        return fail(404, 'not_quarantined', 'no such request is quarantined')

    async def get_metrics(self, req: AdminRequest) -> Reply:
        """Return the scrape page."""
        return Reply(200, self._sources.scrape(), METRICS_TYPE)

    async def get_health(self, req: AdminRequest) -> Reply:
        """Tell that the process runs."""
        return Reply(200, {'healthy': True})

    async def get_ready(self, req: AdminRequest) -> Reply:
        """Tell whether callers may be sent here."""
        is_ready = self._sources.ready()
        return Reply(200 if is_ready else 503, {'ready': is_ready})

    async def get_openapi(self, req: AdminRequest) -> Reply:
        """Return the description of this API."""
        page = resources.files('sesamespoke').joinpath('openapi.json')
        return Reply(200, page.read_bytes())

    def _show_own(self) -> dict[str, JSONValue]:
        watch = self._rollout.watch
        return {
            'host': self._links.host,
            'data_centre': self._links.data_centre,
            'revision': self._rollout.number,
            'ready': self._sources.ready(),
            'watches_document': watch.is_watcher,
            'store_seen_seconds_ago': watch.staleness(),
            **self._sources.status(),
        }

    def _show_hosts(self) -> list[JSONValue]:
        view = self._links.view
        revisions = {
            **self._rollout.peers.revisions,
            self._links.host: self._rollout.number,
        }
        seen = {member.host: member.data_centre for member in view.members}
        known = dict.fromkeys(view.known, self._links.data_centre)
        return [
            {
                'host': host,
                'data_centre': data_centre,
                'revision': revisions.get(host, 0),
                'reached': host in seen,
            }
            for host, data_centre in sorted({**known, **seen}.items())
        ]


def _group_hosts(
    revision: int,
    hosts: list[JSONValue],
) -> dict[str, list[str]]:
    """Return which hosts have a revision, lag behind or can't be reached."""
    groups: dict[str, list[str]] = {
        'in_force': [],
        'behind': [],
        'unreachable': [],
    }
    for row in hosts:
        has_it = row['revision'] >= revision
        group = 'in_force' if has_it else 'behind'
        groups[group if row['reached'] else 'unreachable'].append(row['host'])
    return groups
