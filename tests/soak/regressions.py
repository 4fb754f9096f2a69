"""Soaks that failed once, each with its cause; all are to pass."""

from soak.conduct import SoakPlan

STORM = ('all engines', 'kill all routers', 'store')
REGRESSIONS = {
    SoakPlan(2, 60, 9, 6, 120, 2, STORM): (
        'routers that had just started took the whole slack of the budget'
    ),
    SoakPlan(3, 60, 9, 6, 120, 2, STORM): 'the same',
    SoakPlan(5, 60, 9, 6, 120, 2, STORM): 'the same',
    SoakPlan(23, 60, 9, 6, 80, 0.4): (
        'requests sent again on new connections were not paid'
    ),
    SoakPlan(24, 60, 9, 6, 80, 0.4): (
        'crashes on kept connections did not count against a request'
    ),
    SoakPlan(13, 60, 9, 6, 60, 0.5): (
        'a reload signal during the start ended a router'
    ),
}
