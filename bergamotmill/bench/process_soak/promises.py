"""The promises of the routers, checked against a soak's observations."""

import collections
from collections.abc import Callable
import itertools

from bergamotmill.bench.process_soak import const
from bergamotmill.bench.process_soak import observations
from bergamotmill.util import registry

# With these statuses a router guarantees that a request has not run and never
# will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

Check = Callable[[observations.Observations], list[str]]
PROMISES: registry.Registry[Check] = registry.Registry("promise")


@PROMISES.register("answers are whole and the request's own")
def _answer_content(observed: observations.Observations) -> list[str]:
    return [
        f"{item.request_id} on {item.route}: {item.content_error}"
        for item in observed.requests
        if item.content_error
    ]


def _runs_by_request(observed: observations.Observations):
    runs = collections.defaultdict(list)
    for item in observed.arrivals:
        if item.accepted:
            runs[item.request_id].append(item)
    return runs


@PROMISES.register("what may not be repeated runs once")
def _single_run(observed: observations.Observations) -> list[str]:
    violations = []
    runs = _runs_by_request(observed)
    for item in observed.requests:
        if item.repeatable:
            continue
        request_runs = sorted(runs[item.request_id], key=lambda run: run.at)
        # Another run may only continue the previous one after its replica was
        # lost.
        for before, after in itertools.pairwise(request_runs):
            lost_at = observed.lost_at.get(before.replica)
            if not after.continued or lost_at is None or lost_at > after.at:
                violations.append(
                    f"{item.request_id} on {item.route} ran at "
                    f"{before.replica} and again at {after.replica}"
                )
    return violations


@PROMISES.register("a refused request has not run")
def _refused_not_run(observed: observations.Observations) -> list[str]:
    runs = _runs_by_request(observed)
    return [
        f"{item.request_id} on {item.route} was answered {item.status} and "
        f"ran at {runs[item.request_id][0].replica}"
        for item in observed.requests
        if not item.repeatable
        and item.status in NOT_RUN_STATUSES
        and runs[item.request_id]
    ]


@PROMISES.register("a request runs for the customer that holds its key")
def _customer_of_key(observed: observations.Observations) -> list[str]:
    requests = {item.request_id: item for item in observed.requests}
    violations = []
    for run in observed.arrivals:
        request = requests.get(run.request_id)
        if request is None:
            if run.request_id:
                violations.append(
                    f"{run.request_id} was not sent by any caller"
                )
        elif run.customer != request.key.removeprefix("key-"):
            violations.append(f"{run.request_id} ran for {run.customer!r}")
    return violations


@PROMISES.register("cache scopes keep versions and customers apart")
def _cache_scopes(observed: observations.Observations) -> list[str]:
    violations = []
    versions: dict[str, int] = {}
    owners: dict[str, str] = {}
    for run in observed.arrivals:
        if not run.accepted or not run.scope:
            continue
        if (
            versions.setdefault(run.scope, run.weights_version)
            != run.weights_version
        ):
            violations.append(
                f"{run.scope} was used with two versions of the weights"
            )
        # Only the customer "alone" is configured with an isolated cache.
        owner = run.customer if run.customer == "alone" else "shared"
        if owners.setdefault(run.scope, owner) != owner:
            violations.append(
                f"{run.scope} was shared with an isolated customer"
            )
    return violations


@PROMISES.register("replicas that leave get nothing new")
def _leaving_replicas(observed: observations.Observations) -> list[str]:
    violations = []
    for run in observed.arrivals:
        left_at = observed.leaving_since.get(run.replica)
        if left_at is None or (
            run.at < left_at + const.REPLICA_DRAIN_S + const.TIMING_TOLERANCE_S
        ):
            continue
        if observed.fault_free(
            left_at - const.FAULT_SETTLE_S, run.at, ("replica",)
        ):
            violations.append(
                f"{run.request_id} reached {run.replica} "
                f"{run.at - left_at:.1f} s after it began to leave"
            )
    return violations


@PROMISES.register("a configuration is in force in time and never taken back")
def _configuration_in_force(observed: observations.Observations) -> list[str]:
    violations = []
    highest: dict[str, int] = {}
    for router, at, version in observed.probed_versions:
        if version < highest.get(router, 0):
            violations.append(
                f"{router} went from version {highest[router]} to {version}"
            )
        highest[router] = max(version, highest.get(router, 0))
        due = [
            acknowledged
            for acknowledged, acknowledged_at in observed.acknowledged_versions
            if at
            > acknowledged_at
            + const.CONFIGURATION_LIMIT_S
            + const.TIMING_TOLERANCE_S
            and observed.fault_free(
                acknowledged_at - const.FAULT_SETTLE_S, at, ("replica",)
            )
        ]
        if due and version < max(due):
            violations.append(
                f"{router} was on version {version} when {max(due)} was due"
            )
    return violations


@PROMISES.register("orders come from one holder at a time")
def _order_lease_holder(observed: observations.Observations) -> list[str]:
    violations = []
    holders: dict[int, str] = {}
    latest: dict[str, int] = {}
    for item in observed.orders:
        if holders.setdefault(item.fencing, item.holder) != item.holder:
            violations.append(
                f"two lease holders used the fencing token {item.fencing}"
            )
        if item.fencing < latest.get(item.replica, 0):
            violations.append(
                f"{item.replica} accepted a lower fencing token than before"
            )
        latest[item.replica] = item.fencing
    return violations


@PROMISES.register("repeats stay within the budget")
def _retry_budget(observed: observations.Observations) -> list[str]:
    arrived_ids: set[str] = set()
    retry_times = []
    for item in sorted(observed.arrivals, key=lambda run: run.at):
        if item.request_id in arrived_ids:
            retry_times.append(item.at)
        arrived_ids.add(item.request_id)
    violations = []
    for at in retry_times:
        window = (at - const.RETRY_WINDOW_S, at)
        retry_count = sum(
            window[0] < other <= window[1] for other in retry_times
        )
        # Requests of the preceding window count as well.
        request_count = sum(
            window[0] - const.RETRY_WINDOW_S < item.began <= window[1]
            for item in observed.requests
        )
        allowed = const.RETRY_RATIO * request_count + const.RETRY_SLACK
        if retry_count > allowed:
            violations.append(
                f"{retry_count} retries, {allowed:.0f} were allowed"
            )
    return violations


@PROMISES.register("few requests with a part that crashes engines reach them")
def _crashing_prompts(observed: observations.Observations) -> list[str]:
    violations = []
    for part, times in observed.crashes.items():
        arrivals = [
            run.at for run in observed.arrivals if part in run.parts[:-1]
        ]
        late_count = _count_late(
            observed, times, arrivals, const.CRASHES_UNTIL_LIMIT
        )
        if late_count > const.MAX_REQUESTS_AFTER_CRASHES:
            violations.append(
                f"{late_count} requests with {part} reached engines after "
                f"{const.CRASHES_UNTIL_LIMIT} had ended"
            )
    return violations


def _count_late(
    observed: observations.Observations,
    crashes: list[float],
    arrivals: list[float],
    crashes_until_limit: int,
) -> int:
    """Counts arrivals that are too late after so many crashes."""
    if len(crashes) < crashes_until_limit:
        return 0
    limit_at = (
        crashes[crashes_until_limit - 1]
        + const.FAULT_SETTLE_S
        + const.TIMING_TOLERANCE_S
    )
    return sum(
        at > limit_at
        and observed.fault_free(at - const.FAULT_SETTLE_S, at, ("replica",))
        for at in arrivals
    )


@PROMISES.register("a request that crashes replicas rarely reaches them")
def _crashing_requests(observed: observations.Observations) -> list[str]:
    violations = []
    for body, times in observed.request_crashes.items():
        arrivals = [run.at for run in observed.arrivals if run.body == body]
        late_count = _count_late(
            observed, times, arrivals, const.REQUEST_CRASHES_UNTIL_LIMIT
        )
        if late_count > const.MAX_REQUESTS_AFTER_CRASHES:
            violations.append(
                f"{body.decode()} reached replicas {late_count} times after "
                f"{const.REQUEST_CRASHES_UNTIL_LIMIT} had ended"
            )
    return violations


@PROMISES.register("replicas that name a limit get no more than it allows")
def _stated_limits(observed: observations.Observations) -> list[str]:
    violations = []
    routers = {
        item.request_id: observed.router_names.get(item.router, item.router)
        for item in observed.requests
    }
    for span in observed.limit_spans:
        arrivals = sorted(
            (item.at, routers.get(item.request_id, ""))
            for item in observed.arrivals
            if item.replica == span.replica
            and span.began <= item.at <= span.ended
        )
        allowed = (
            const.LIMIT_ALLOWED_RATIO * const.LIMIT_WINDOW_S * span.per_s
            + const.LIMIT_ALLOWED_MORE
        )
        most = _most_in_window(observed, span, arrivals)
        if most > allowed:
            violations.append(
                f"{span.replica} got {most} requests in "
                f"{const.LIMIT_WINDOW_S:.0f} s, {allowed:.0f} were allowed"
            )
    return violations


def _most_in_window(
    observed: observations.Observations,
    span: observations.LimitSpan,
    arrivals: list[tuple[float, str]],
) -> int:
    """Returns the most requests that a limited replica got in a window.

    Only requests of routers count that had forwarded an answer with the limit,
    and that no fault disturbed meanwhile.
    """
    heard_at: dict[str, float] = {}
    for at, router in arrivals:
        heard_at.setdefault(
            router, at + const.LIMIT_HEARD_S + const.TIMING_TOLERANCE_S
        )
    most = 0
    for end, _ in arrivals:
        start = end - const.LIMIT_WINDOW_S
        if end <= span.began + const.FAULT_SETTLE_S:
            continue
        disturbed = {
            router
            for router in heard_at
            if observed.disturbed(
                router, span.replica, start - const.FAULT_SETTLE_S, end
            )
        }
        count = sum(
            start < at <= end and at > heard_at[router]
            for at, router in arrivals
            if router not in disturbed
        )
        most = max(most, count)
    return most


@PROMISES.register("a final answer comes no later than the route allows")
def _answer_in_time(observed: observations.Observations) -> list[str]:
    return [
        f"{item.request_id} on {item.route} took "
        f"{item.ended - item.began:.1f} s"
        for item in observed.requests
        if item.ended - item.began
        > item.timeout_s + 0.5 + const.TIMING_TOLERANCE_S
        and observed.fault_free(item.began - const.FAULT_SETTLE_S, item.ended)
    ]


@PROMISES.register("a router that is asked to end cuts nothing")
def _shutdown_cuts_nothing(observed: observations.Observations) -> list[str]:
    return [
        f"{item.request_id} on {item.route} was cut by {item.router} after "
        f"{item.ended - item.began:.2f} of {item.timeout_s} s, status "
        f"{item.status}"
        for item in observed.requests
        if item.ended
        and not item.complete
        # A router that has exited accepts no connection and cuts nothing.
        and item.connected
        and observed.fault_free(
            item.began - const.FAULT_SETTLE_S, item.ended, ("asked to end",)
        )
    ]


@PROMISES.register("a router that is off is not named")
def _off_routers_not_named(observed: observations.Observations) -> list[str]:
    limit_s = const.DIRECTORY_LIMIT_S + const.TIMING_TOLERANCE_S
    return [
        f"{answer.router} named {name}, off for {answer.at - off_at:.1f} s"
        for answer in observed.directory_answers
        if not observed.disturbed(
            answer.router, "", answer.at - limit_s, answer.at
        )
        for name in answer.named
        for off_at, on_at in observed.off_spans.get(name, ())
        if off_at + limit_s < answer.at < on_at
    ]


def check(observed: observations.Observations) -> None:
    """Checks all promises and replaces the recorded violations."""
    observed.violations.clear()
    for name in PROMISES.names():
        for text in PROMISES.get(name)(observed):
            observed.record_violation(f"{name}: {text}")
