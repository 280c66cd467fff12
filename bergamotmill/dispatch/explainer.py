"""Answers operators' questions where a request would be sent now, and why.

A question takes the path of a request up to its decision, with the same code,
but is neither sent nor counted. Where placement owners decide, they are asked
for the decision without placing anything.
"""

from collections.abc import Callable
import dataclasses
import json
from typing import Protocol

from bergamotmill.control import peers as peer_links
from bergamotmill.dispatch import allowances as upstream_allowances
from bergamotmill.dispatch import call_preview
from bergamotmill.dispatch import explanation
from bergamotmill.dispatch import fleet as fleet_state
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement_messages
from bergamotmill.dispatch import placement_owner
from bergamotmill.dispatch import planner
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.proto import peer_pb2
from bergamotmill.util import token_bucket

RPC_METHOD = "Explain"
# Time to wait for an owner. Nobody's request waits for the answer, so it may be
# longer than for a request.
OWNER_TIMEOUT_S = 1.0
# Questions of other routers that an owner answers; each costs about as much
# processor time as a request.
OWNER_QUESTIONS_PER_S = 10.0
OWNER_QUESTIONS_BURST = 20.0


class CustomerLimits(Protocol):
    """Limits by customer, as far as questions are concerned."""

    def preview(self, call: messages.Call) -> messages.Rejection | None:
        """Returns the rejection that a call would get, charging nothing."""


class NoCustomerLimits:
    """Customers without limits."""

    def preview(self, call: messages.Call) -> messages.Rejection | None:
        """Returns None: no call exceeds a limit."""
        del call


@dataclasses.dataclass(frozen=True, slots=True)
class Links:
    """What questions are answered with.

    Attributes:
        own_name: name of this router.
        data_centre: data centre of this router.
        previews: decides on requests.
        planner: describes requests.
        owner: decides on requests that other routers ask this one for.
        peers: calls other routers.
        allowances: keeps within the limits that upstreams name.
        retries_left: returns the retries that the budget of a service allows;
            None while the service has had no request.
        now: the monotonic clock.
        customer_limits: rejects requests beyond the limit of their customer.
    """

    own_name: str
    data_centre: str
    previews: call_preview.CallPreviews
    planner: planner.Planner
    owner: placement_owner.PlacementOwner
    peers: peer_links.PeerClient
    allowances: upstream_allowances.Allowances
    retries_left: Callable[[str], float | None]
    now: Callable[[], float]
    customer_limits: CustomerLimits = dataclasses.field(
        default_factory=NoCustomerLimits
    )


class Explainer:
    """Answers the questions that operators and other routers ask this one."""

    def __init__(self, fleet: fleet_state.Fleet, links: Links):
        """Makes an explainer.

        Args:
            fleet: configuration, weights and upstreams.
            links: what questions are answered with.
        """
        self._fleet = fleet
        self._links = links
        self._owner_questions = token_bucket.TokenBucket(
            OWNER_QUESTIONS_PER_S, OWNER_QUESTIONS_BURST, links.now()
        )

    @property
    def own_name(self) -> str:
        """Name of this router."""
        return self._links.own_name

    @property
    def data_centre(self) -> str:
        """Data centre of this router, where the requests count as arrived."""
        return self._links.data_centre

    def explain_rejection(
        self, rejection: messages.Rejection
    ) -> explanation.Description:
        """Explains a request that is rejected before any decision on it."""
        return {
            **self._describe_router(),
            "verdict": explanation.describe_rejection(rejection),
        }

    async def explain(
        self, call: messages.Call, service: str
    ) -> explanation.Description:
        """Explains what would become of a call at a service of its route."""
        question = _Question(self)
        preview = await self._links.previews.preview(
            call, service, question.ask_owner
        )
        choice = preview.placed.choice
        by_owner = choice is not None and bool(choice.owner)
        by_owner |= (
            preview.placed.verdict is not placement_messages.Verdict.UNKNOWN
        )
        views = question.views
        if not by_owner:
            views = [*views, self._own_view(call, service, preview)]
        verdict = explanation.describe_verdict(preview)
        if verdict["outcome"] == explanation.SENT:
            upstream = choice.best.upstream
            verdict["allowance_from"] = self._links.allowances.owner_name(
                upstream
            )
        over_limit = self._links.customer_limits.preview(call)
        if over_limit is not None:
            verdict = explanation.describe_rejection(over_limit)
        return {
            **self._describe_router(),
            **explanation.describe_call(call, service),
            "decided_by": {
                "router": views[-1]["router"],
                "role": "placement owner" if by_owner else "router",
                "fallback": "" if choice is None else choice.fallback,
            },
            "verdict": verdict,
            "retries_left": self._links.retries_left(service),
            "views": views,
        }

    def _describe_router(self) -> explanation.Description:
        return {
            "router": self._links.own_name,
            "data_centre": self._links.data_centre,
            "configuration": self._fleet.catalog.version,
            "doubtful": self._fleet.maybe_outdated(),
        }

    def _own_view(
        self,
        call: messages.Call,
        service: str,
        preview: call_preview.Preview,
    ) -> explanation.Description:
        """Describes the upstreams as this router weighed them by itself."""
        pool = explanation.Pool(service, limited=preview.limited)
        if call.generation is not None:
            demand = self._links.planner.build_demand(
                call_progress.Progress(call), service
            )
            pool = explanation.Pool(
                service,
                call.generation.model,
                demand.prefixes,
                preview.limited,
            )
        return explanation.describe_view(
            self._links.own_name,
            self._fleet,
            pool,
            preview.placed.choice,
            self._links.now(),
        )

    async def on_question(
        self, request: peer_pb2.PlacementQuestion
    ) -> peer_pb2.PlacementView:
        """Answers a question that another router asks this one as an owner."""
        if not self._owner_questions.try_take(1.0, self._links.now()):
            return peer_pb2.PlacementView()
        ask = placement_messages.decode_ask(request.ask)
        reply, view = self.preview_ask(ask)
        return peer_pb2.PlacementView(
            reply=placement_messages.encode_reply(reply),
            view=json.dumps(view).encode(),
        )

    def preview_ask(
        self, ask: placement_messages.Ask
    ) -> tuple[placement_messages.Reply, explanation.Description]:
        """Decides on an ask as a placement owner, and describes that."""
        with self._links.owner.preview(ask) as preview:
            view = explanation.describe_view(
                self._links.own_name,
                self._fleet,
                explanation.owner_pool(ask, preview),
                preview.choice,
                self._links.now(),
            )
        view["group"] = ask.group
        view["verdict"] = preview.reply.verdict.name.lower()
        view["waiting"] = self._links.owner.waiting_count
        return preview.reply, view

    async def ask_peer(
        self, owner: str, ask: placement_messages.Ask
    ) -> tuple[placement_messages.Reply, explanation.Description] | None:
        """Asks another router for its decision as a placement owner."""
        request = peer_pb2.PlacementQuestion(
            ask=placement_messages.encode_ask(ask)
        )
        called = await self._links.peers.call(
            owner, RPC_METHOD, request, OWNER_TIMEOUT_S
        )
        if called.is_err() or not called.ok().HasField("reply"):
            return None
        answer = called.ok()
        reply = placement_messages.decode_reply(answer.reply)
        return reply, json.loads(answer.view)


class _Question:
    """One question, and the views of the owners that it was asked."""

    def __init__(self, explainer: Explainer):
        self._explainer = explainer
        self.views: list[explanation.Description] = []

    async def ask_owner(
        self,
        progress: call_progress.Progress,
        owner: str,
        ask: placement_messages.Ask,
    ) -> placement_messages.Reply | None:
        """Returns the reply that an owner would give; None without one."""
        del progress
        if owner == self._explainer.own_name:
            answer = self._explainer.preview_ask(ask)
        else:
            answer = await self._explainer.ask_peer(owner, ask)
        if answer is None:
            return None
        reply, view = answer
        self.views.append(view)
        return reply
