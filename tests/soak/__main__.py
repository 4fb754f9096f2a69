"""Runs one soak and prints what it found."""

import argparse
import asyncio
import json
import sys

from soak.conduct import SoakPlan, soak

PROMISES = (
    'ran_twice',
    'false_not_run',
    'wrong_or_cut_answers',
    'over_max_attempts',
    'longer_deadlines',
    'over_retry_budget',
    'poison_retries',
    'over_cold_limit',
    'unknown_requests',
    'died',
)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--seconds', type=float, default=40)
    parser.add_argument('--routers', type=int, default=9)
    parser.add_argument('--engines', type=int, default=6)
    parser.add_argument('--rate', type=float, default=60, help='requests/s')
    parser.add_argument('--pace', type=float, default=1.5, help='s a fault')
    parser.add_argument('--logs', help='a directory that keeps all logs')
    parser.add_argument('--source', help='the src directory of other code')
    parser.add_argument('--json', action='store_true')
    args = parser.parse_args()
    plan = SoakPlan(
        args.seed,
        args.seconds,
        args.routers,
        args.engines,
        args.rate,
        args.pace,
        args.logs,
        args.source,
    )
    result = asyncio.run(soak(plan))
    print(json.dumps(result, indent=None if args.json else 1))
    return any(result[name] for name in PROMISES)


if __name__ == '__main__':
    sys.exit(main())
