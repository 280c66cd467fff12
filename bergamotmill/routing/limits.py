"""Rate limits of customers, shared among the routers that serve them.

Each of a customer's routers gets an equal fraction of its limit. A router
that runs short borrows from one with spare rate. The lender subtracts the
lent rate from its own until LOAN_MARGIN_S after the loan has expired. The rates
in force therefore never add up to more than the limit, even when routers cannot
reach each other. The limit can be exceeded only by each router's burst, and
while routers disagree on which of them serve the customer.
"""

from collections.abc import Callable
import dataclasses
import itertools

from bergamotmill.util import token_bucket

BURST_S = 1.0
LOAN_DURATION_S = 5.0
# The lender waits this long after a loan expires before reusing the rate.
LOAN_MARGIN_S = 1.0
MAX_LENT_FRACTION = 0.5
MAX_ACCOUNTS = 20_000
# Accounts that are tried for eviction at a time.
MAX_ACCOUNTS_TRIED = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """A rate that one router uses in place of another.

    Attributes:
        rate: requests per second.
        expires_at: time in seconds from which the loan no longer counts; at
            the lender LOAN_MARGIN_S later than at the borrower.
    """

    rate: float
    expires_at: float


class _Account:
    """The rate of one customer and request class at this router."""

    __slots__ = (
        "base_rate",
        "bucket",
        "demand",
        "loans_granted",
        "loans_received",
    )

    def __init__(self, base_rate: float, now: float):
        self.base_rate = base_rate
        self.bucket = token_bucket.TokenBucket(
            base_rate, max(1.0, base_rate * BURST_S), now
        )
        self.loans_granted: list[Loan] = []
        self.loans_received: list[Loan] = []
        self.demand = 0.0

    def refresh(self, now: float) -> None:
        """Drops expired loans and updates the rate in force."""
        self.loans_granted = [
            loan for loan in self.loans_granted if loan.expires_at > now
        ]
        self.loans_received = [
            loan for loan in self.loans_received if loan.expires_at > now
        ]
        rate = self.base_rate
        rate -= sum(loan.rate for loan in self.loans_granted)
        rate += sum(loan.rate for loan in self.loans_received)
        if rate < -1e-9:
            raise AssertionError("rate on loan exceeds the router's own rate")
        self.bucket.set_rate(max(0.0, rate), max(1.0, rate * BURST_S), now)


class SharedRateLimits:
    """This router's fractions of all customers' rate limits."""

    def __init__(self, fraction_of: Callable[[str], float]):
        """Creates the limits.

        Args:
            fraction_of: returns this router's fraction, 0 to 1, of a
                customer's limits.
        """
        self._fraction_of = fraction_of
        self._accounts: dict[tuple[str, str], _Account] = {}

    def try_take(
        self, customer: str, request_class: str, limit: float, now: float
    ) -> float:
        """Takes one request from the customer's limit.

        Returns:
            0 if the request is within the limit, else seconds until it may be.
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
        """Lends spare rate to another router, at most the wanted rate."""
        account = self._account(customer, request_class, limit, now)
        lent_rate = sum(loan.rate for loan in account.loans_granted)
        spare_rate = account.base_rate * MAX_LENT_FRACTION - lent_rate
        # Rate in use is not lent; a bucket below half full shows use.
        half_full_in_s = account.bucket.seconds_until(
            max(1.0, account.bucket.rate * BURST_S) * 0.5, now
        )
        if spare_rate <= 0 or half_full_in_s > 0 or account.loans_received:
            return Loan(0.0, now)
        rate = min(spare_rate, wanted)
        account.loans_granted.append(
            Loan(rate, now + LOAN_DURATION_S + LOAN_MARGIN_S)
        )
        account.refresh(now)
        return Loan(rate, now + LOAN_DURATION_S)

    def add_loan(
        self,
        customer: str,
        request_class: str,
        limit: float,
        loan: Loan,
        now: float,
    ) -> None:
        """Adds a loan granted by another router."""
        account = self._account(customer, request_class, limit, now)
        if loan.rate > 0:
            account.loans_received.append(loan)
            account.refresh(now)

    def rate(
        self, customer: str, request_class: str, limit: float, now: float
    ) -> float:
        """Returns the requests per second allowed at this router."""
        return self._account(customer, request_class, limit, now).bucket.rate

    def _evict(self, newest: tuple[str, str], now: float) -> None:
        """Drops the oldest account without loans.

        The rate on loan would otherwise be in force at both routers. If the
        first few have loans, the oldest of them is dropped all the same, so
        that the number of accounts stays bounded.
        """
        oldest = list(itertools.islice(self._accounts, MAX_ACCOUNTS_TRIED))
        for key in oldest:
            account = self._accounts[key]
            account.refresh(now)
            has_loans = account.loans_granted or account.loans_received
            if key != newest and not has_loans:
                del self._accounts[key]
                return
        del self._accounts[oldest[0]]

    def _account(self, customer, request_class, limit, now) -> _Account:
        key = (customer, request_class)
        account = self._accounts.get(key)
        base_rate = limit * self._fraction_of(customer)
        if account is None:
            account = _Account(base_rate, now)
            self._accounts[key] = account
            if len(self._accounts) > MAX_ACCOUNTS:
                self._evict(key, now)
        account.base_rate = max(
            base_rate, sum(loan.rate for loan in account.loans_granted)
        )
        account.refresh(now)
        return account
