"""Rates of customers, shared among the few routers that serve them.

Each of a customer's routers holds an equal part of its rate. A router that
runs short borrows from one that has rate to spare: the lender takes the lent
rate off its own part until the loan has surely ended, and only then uses it
again. The parts in force therefore never add up to more than the limit, even
when routers cannot talk; what may exceed it is each router's burst, and the
parts of routers that disagree on who serves the customer.
"""

from collections.abc import Callable
import dataclasses

from bergamotmill.util import token_bucket

BURST_S = 1.0
LOAN_S = 5.0
# The lender waits so much longer before it uses lent rate again.
LOAN_MARGIN_S = 1.0
MAX_LENT_PART = 0.5
MAX_BUCKETS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """Rate that one router uses in place of another."""

    rate: float
    expires_at: float


class _Account:
    """One customer's and class's rate at this router."""

    __slots__ = ("base", "borrowed", "bucket", "demand", "lent")

    def __init__(self, base: float, now: float):
        self.base = base
        self.bucket = token_bucket.TokenBucket(
            base, max(1.0, base * BURST_S), now
        )
        self.lent: list[Loan] = []
        self.borrowed: list[Loan] = []
        self.demand = 0.0

    def settle(self, now: float) -> None:
        """Drops ended loans and sets the rate in force."""
        self.lent = [loan for loan in self.lent if loan.expires_at > now]
        self.borrowed = [
            loan for loan in self.borrowed if loan.expires_at > now
        ]
        rate = self.base
        rate -= sum(loan.rate for loan in self.lent)
        rate += sum(loan.rate for loan in self.borrowed)
        if rate < -1e-9:
            raise AssertionError("more rate was lent than held")
        self.bucket.set_rate(max(0.0, rate), max(1.0, rate * BURST_S), now)


class SharedRateLimits:
    """This router's parts of all customers' limits."""

    def __init__(self, fraction_of: Callable[[str], float]):
        """Makes the limits.

        Args:
            fraction_of: returns this router's share, 0 to 1, of a customer's
                rate.
        """
        self._fraction_of = fraction_of
        self._accounts: dict[tuple[str, str], _Account] = {}

    def try_take(
        self, customer: str, request_class: str, limit: float, now: float
    ) -> float:
        """Takes one request's worth.

        Returns:
            0 when it was taken, else seconds until it might be.
        """
        account = self._account(customer, request_class, limit, now)
        if account.bucket.try_take(1.0, now):
            return 0.0
        return max(0.05, account.bucket.seconds_until(1.0, now))

    def grant_loan(
        self,
        customer: str,
        request_class: str,
        limit: float,
        wanted: float,
        now: float,
    ) -> Loan:
        """Lends rate to another router, as much as can be spared."""
        account = self._account(customer, request_class, limit, now)
        lent = sum(loan.rate for loan in account.lent)
        spare = account.base * MAX_LENT_PART - lent
        # Rate that is being used is not lent.
        full = account.bucket.seconds_until(
            max(1.0, account.bucket.rate * BURST_S) * 0.5, now
        )
        if spare <= 0 or full > 0 or account.borrowed:
            return Loan(0.0, now)
        rate = min(spare, wanted)
        account.lent.append(Loan(rate, now + LOAN_S + LOAN_MARGIN_S))
        account.settle(now)
        return Loan(rate, now + LOAN_S)

    def add_loan(
        self,
        customer: str,
        request_class: str,
        limit: float,
        loan: Loan,
        now: float,
    ) -> None:
        """Adds a loan that another router granted."""
        account = self._account(customer, request_class, limit, now)
        if loan.rate > 0:
            account.borrowed.append(loan)
            account.settle(now)

    def rate(
        self, customer: str, request_class: str, limit: float, now: float
    ) -> float:
        """Returns the rate in force at this router."""
        return self._account(customer, request_class, limit, now).bucket.rate

    def _account(self, customer, request_class, limit, now) -> _Account:
        key = (customer, request_class)
        account = self._accounts.get(key)
        base = limit * self._fraction_of(customer)
        if account is None:
            account = _Account(base, now)
            self._accounts[key] = account
            if len(self._accounts) > MAX_BUCKETS:
                del self._accounts[next(iter(self._accounts))]
        account.base = max(base, sum(loan.rate for loan in account.lent))
        account.settle(now)
        return account
