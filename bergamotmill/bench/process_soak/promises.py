"""The promises that a soak checks, each from what callers and replicas saw."""

import collections
from collections.abc import Callable
import itertools

from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import observations
from bergamotmill.util import registry

# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})

Check = Callable[[observations.Observations], list[str]]
PROMISES: registry.Registry[Check] = registry.Registry("promise")


@PROMISES.register("answers are whole and the request's own")
def _whole(seen: observations.Observations) -> list[str]:
    return [
        f"{item.request_id} on {item.route}: {item.wrong}"
        for item in seen.requests
        if item.wrong
    ]


def _runs(seen: observations.Observations):
    runs = collections.defaultdict(list)
    for item in seen.arrivals:
        if item.runs:
            runs[item.request_id].append(item)
    return runs


@PROMISES.register("what may not be repeated runs once")
def _once(seen: observations.Observations) -> list[str]:
    found = []
    runs = _runs(seen)
    for item in seen.requests:
        if item.repeatable:
            continue
        mine = sorted(runs[item.request_id], key=lambda run: run.at)
        for before, after in itertools.pairwise(mine):
            lost = seen.lost.get(before.replica)
            if not after.continued or lost is None or lost > after.at:
                found.append(
                    f"{item.request_id} on {item.route} ran at "
                    f"{before.replica} and again at {after.replica}"
                )
    return found


@PROMISES.register("a refused request has not run")
def _refused(seen: observations.Observations) -> list[str]:
    runs = _runs(seen)
    return [
        f"{item.request_id} on {item.route} was answered {item.status} and "
        f"ran at {runs[item.request_id][0].replica}"
        for item in seen.requests
        if not item.repeatable
        and item.status in NOT_RUN
        and runs[item.request_id]
    ]


@PROMISES.register("a request runs for the customer that holds its key")
def _customers(seen: observations.Observations) -> list[str]:
    known = {item.request_id: item for item in seen.requests}
    found = []
    for run in seen.arrivals:
        request = known.get(run.request_id)
        if request is None:
            if run.request_id:
                found.append(f"{run.request_id} was sent by nobody")
        elif run.customer != request.key.removeprefix("key-"):
            found.append(f"{run.request_id} ran for {run.customer!r}")
    return found


@PROMISES.register("cache scopes keep versions and customers apart")
def _scopes(seen: observations.Observations) -> list[str]:
    found = []
    versions: dict[str, int] = {}
    owners: dict[str, str] = {}
    for run in seen.arrivals:
        if not run.runs or not run.scope:
            continue
        if versions.setdefault(run.scope, run.weights) != run.weights:
            found.append(f"{run.scope} was used under two versions")
        owner = run.customer if run.customer == "alone" else "shared"
        if owners.setdefault(run.scope, owner) != owner:
            found.append(f"{run.scope} was used by an isolated customer too")
    return found


@PROMISES.register("replicas that leave get nothing new")
def _leaving(seen: observations.Observations) -> list[str]:
    found = []
    for run in seen.arrivals:
        left = seen.leaving.get(run.replica)
        if left is None or run.at < left + const.DRAIN_S + const.SLACK_S:
            continue
        if seen.calm(left - const.CALM_AFTER_S, run.at, ("replica",)):
            found.append(
                f"{run.request_id} reached {run.replica} "
                f"{run.at - left:.1f} s after it left"
            )
    return found


@PROMISES.register("a configuration is in force in time and never taken back")
def _configuration(seen: observations.Observations) -> list[str]:
    found = []
    highest: dict[str, int] = {}
    for router, at, version in seen.in_force:
        if version < highest.get(router, 0):
            found.append(
                f"{router} went from version {highest[router]} to {version}"
            )
        highest[router] = max(version, highest.get(router, 0))
        due = [
            wanted
            for wanted, acked in seen.versions
            if at > acked + const.CONFIGURATION_S + const.SLACK_S
            and seen.calm(acked - const.CALM_AFTER_S, at, ("replica",))
        ]
        if due and version < max(due):
            found.append(f"{router} was on {version} when {max(due)} was due")
    return found


@PROMISES.register("orders come from one holder at a time")
def _orders(seen: observations.Observations) -> list[str]:
    found = []
    holders: dict[int, str] = {}
    latest: dict[str, int] = {}
    for item in seen.orders:
        if holders.setdefault(item.fencing, item.holder) != item.holder:
            found.append(f"two holders used the number {item.fencing}")
        if item.fencing < latest.get(item.replica, 0):
            found.append(f"{item.replica} took a lower number")
        latest[item.replica] = item.fencing
    return found


@PROMISES.register("repeats stay within the budget")
def _budget(seen: observations.Observations) -> list[str]:
    first: set[str] = set()
    repeats = []
    for item in sorted(seen.arrivals, key=lambda run: run.at):
        if item.request_id in first:
            repeats.append(item.at)
        first.add(item.request_id)
    found = []
    for at in repeats:
        span = (at - const.RETRY_WINDOW_S, at)
        count = sum(span[0] < other <= span[1] for other in repeats)
        asked = sum(
            span[0] - const.RETRY_WINDOW_S < item.began <= span[1]
            for item in seen.requests
        )
        allowed = const.RETRY_RATIO * asked + const.RETRY_SLACK
        if count > allowed:
            found.append(f"{count} repeats, {allowed:.0f} were allowed")
    return found


@PROMISES.register("a final answer comes no later than the route allows")
def _final(seen: observations.Observations) -> list[str]:
    return [
        f"{item.request_id} on {item.route} took "
        f"{item.ended - item.began:.1f} s"
        for item in seen.requests
        if item.ended - item.began > item.timeout_s + 0.5 + const.SLACK_S
        and seen.calm(item.began - const.CALM_AFTER_S, item.ended)
    ]


@PROMISES.register("a router that is asked to end cuts nothing")
def _ending(seen: observations.Observations) -> list[str]:
    return [
        f"{item.request_id} on {item.route} was cut by {item.router}"
        for item in seen.requests
        if item.ended
        and not item.whole
        and seen.calm(
            item.began - const.CALM_AFTER_S, item.ended, ("asked to end",)
        )
    ]


def check(seen: observations.Observations) -> None:
    """Checks all promises and notes what is broken."""
    seen.violations.clear()
    for name in PROMISES.names():
        for text in PROMISES.get(name)(seen):
            seen.violated(f"{name}: {text}")
