"""This router's share of the fleet's retry budgets, by service."""

from collections.abc import Callable, Mapping

from bergamotmill.dispatch import settings as router_settings
from bergamotmill.routing import window_budget

# Fraction of the retry budget that is used: routers may disagree for a time on
# how many share it.
BUDGET_FRACTION = 0.85
# The slack of the budget is divided among at least this many routers.
MIN_ROUTERS = 2


class RetryBudgets:
    """Makes the budget of each service on its first request."""

    def __init__(
        self,
        settings: router_settings.RetrySettings,
        router_count: Callable[[], int],
        now: Callable[[], float],
    ):
        """Makes budgets.

        Args:
            settings: the retry budget of the whole fleet for each service.
            router_count: returns the number of routers that share it.
            now: the monotonic clock.
        """
        self._settings = settings
        self._router_count = router_count
        self._now = now
        self._budgets: dict[str, window_budget.WindowBudget] = {}

    @property
    def by_service(self) -> Mapping[str, window_budget.WindowBudget]:
        """The budgets of the services that had requests."""
        return self._budgets

    def of(self, service: str) -> window_budget.WindowBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = window_budget.WindowBudget(
                self._settings.ratio * BUDGET_FRACTION,
                0.0,
                self._settings.window_s,
            )
            self._budgets[service] = budget
            self.share()
        return budget

    def left(self, service: str) -> float | None:
        """Returns how many retries are left; None before the first request."""
        budget = self._budgets.get(service)
        return None if budget is None else budget.remaining(self._now())

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics page."""
        if not self._budgets:
            return {}
        now = self._now()
        left = min(item.remaining(now) for item in self._budgets.values())
        return {"retry_budget_left": left}

    def share(self) -> None:
        """Sets this router's share of the fleet's retry slack."""
        routers = max(MIN_ROUTERS, self._router_count())
        slack = self._settings.slack * BUDGET_FRACTION / routers
        for budget in self._budgets.values():
            budget.set_slack(slack)

    def reload(self, settings: router_settings.RetrySettings) -> None:
        """Applies changed settings; the window stays as it was."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.set_ratio(settings.ratio * BUDGET_FRACTION)
        self.share()
