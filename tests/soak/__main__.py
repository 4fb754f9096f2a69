"""Runs one soak and prints what it found."""

import argparse
import asyncio
import json
import sys

from soak.conduct import SoakPlan, soak
from soak.regressions import REGRESSIONS

PROMISES = (
    'ran_twice',
    'false_not_run',
    'wrong_or_cut_answers',
    'over_max_attempts',
    'longer_deadlines',
    'over_retry_budget',
    'poison_retries',
    'over_cold_limit',
    'over_named_limit',
    'unknown_requests',
    'lost',
    'died',
)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--regressions', action='store_true', help='play all that failed once'
    )
    parser.add_argument('--seconds', type=float, default=40)
    parser.add_argument('--routers', type=int, default=9)
    parser.add_argument('--engines', type=int, default=6)
    parser.add_argument('--rate', type=float, default=60, help='requests/s')
    parser.add_argument('--pace', type=float, default=1.5, help='s a fault')
    parser.add_argument('--only', default='', help='kinds of faults, by comma')
    parser.add_argument('--logs', help='a directory that keeps all logs')
    parser.add_argument('--source', help='the src directory of other code')
    parser.add_argument('--json', action='store_true')
    args = parser.parse_args()
    if args.regressions:
        return max(play(plan, as_json=True) for plan in REGRESSIONS)
    plan = SoakPlan(
        args.seed,
        args.seconds,
        args.routers,
        args.engines,
        args.rate,
        args.pace,
        tuple(filter(None, args.only.split(','))),
        args.logs,
        args.source,
    )
    return play(plan, as_json=args.json)


def play(plan: SoakPlan, *, as_json: bool) -> int:
    """Play one soak and print its result; return 1 for a broken promise."""
    result = asyncio.run(soak(plan))
    print(json.dumps(result, indent=None if as_json else 1), flush=True)
    return int(any(result[name] for name in PROMISES))


if __name__ == '__main__':
    sys.exit(main())
