"""The command line: one group whose commands load when first used."""

import importlib
from types import MappingProxyType

import click

COMMANDS = MappingProxyType(
    {
        'bench': 'sesamespoke.cli_bench:bench',
        'config': 'sesamespoke.cli_config:config',
        'data-centre': 'sesamespoke.cli_data_centre:data_centre',
        'demo': 'sesamespoke.cli_demo:demo',
        'fairness': 'sesamespoke.cli_fairness:fairness',
        'platform-router': 'sesamespoke.platform.main:platform_router',
        'router': 'sesamespoke.cli_router:router',
        'stand-in': 'sesamespoke.cli_stand_ins:stand_in',
        'timeline': 'sesamespoke.cli_timeline:timeline',
    }
)


class LazyGroup(click.Group):
    """A group that imports a command's module only when it is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(
        self,
        ctx: click.Context,
        cmd_name: str,
    ) -> click.Command | None:
        """Import and return one command, or None if there is none."""
        target = COMMANDS.get(cmd_name)
        if target is None:
            return None
        module_name, _, attribute = target.partition(':')
        module = importlib.import_module(module_name)
        command: click.Command = getattr(module, attribute)
        return command


@click.group(cls=LazyGroup)
@click.version_option(package_name='sesamespoke')
def main() -> None:
    """Run and operate a fleet of routers for client accounts.

    \b
    Exit codes: 0 done, 1 failed, 2 wrong usage or settings,
    3 refused by the fleet (a conflict or a lack of rights),
    4 the fleet or the store does not answer.
    """
