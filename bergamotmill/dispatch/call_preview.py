"""Takes a call up to its decision, and neither sends nor records it."""

from collections.abc import Collection
import dataclasses

from bergamotmill.control import quarantine
from bergamotmill.dispatch import allowances as upstream_allowances
from bergamotmill.dispatch import call_decisions
from bergamotmill.dispatch import const
from bergamotmill.dispatch import messages
from bergamotmill.dispatch import placement_client
from bergamotmill.dispatch import placement_messages
from bergamotmill.dispatch import planner
from bergamotmill.dispatch import progress as call_progress
from bergamotmill.dispatch import waiting


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """What would become of a call that is not served.

    Attributes:
        placed: where it would go.
        verdict: whether it would be sent now, wait or be refused.
        rejection: the final response that it would get; None if it would be
            sent or wait.
        wait_s: predicted wait at the upstream, or until one takes calls again.
        trial_of: key of the quarantine entry in spite of which it would be
            sent, if the store confirms the trial; empty for none.
        limited: names of the upstreams whose limit allows the call too late.
    """

    placed: placement_client.Placed
    verdict: waiting.Verdict
    rejection: messages.Rejection | None
    wait_s: float
    trial_of: str = ""
    limited: Collection[str] = ()


class CallPreviews:
    """Decides on calls like the dispatcher, with the same decisions."""

    def __init__(
        self,
        decisions: call_decisions.CallDecisions,
        attempt_planner: planner.Planner,
        placer: placement_client.PlacementClient,
        prompts: quarantine.Quarantine,
        allowances: upstream_allowances.Allowances,
    ):
        """Makes previews.

        Args:
            decisions: decides on calls.
            attempt_planner: describes calls.
            placer: chooses upstreams.
            prompts: holds back prompts that crash engines.
            allowances: the limits that upstreams name.
        """
        self._decisions = decisions
        self._planner = attempt_planner
        self._placer = placer
        self._prompts = prompts
        self._allowances = allowances

    async def preview(
        self,
        call: messages.Call,
        service: str,
        ask_owner: placement_client.AskOwner,
    ) -> Preview:
        """Decides on a call like `Dispatcher.serve`, without serving it.

        Args:
            call: the call.
            service: service that it would be sent to.
            ask_owner: asks a placement owner without having the call placed.
        """
        progress = call_progress.Progress(call)
        rejection = self._decisions.time_rejection(progress, False)
        held_by = self._prompts.holding(progress.prompt)
        has_spare = self._decisions.has_spare(service)
        if self._prompts.may_try(held_by, has_spare):
            progress.trial_of = held_by[0].key
        elif held_by and rejection is None:
            rejection = self._decisions.held_back_rejection(
                progress, held_by[0], has_spare
            )
        placed = await self._preview_placed(progress, service, ask_owner)
        verdict, wait_s = waiting.Verdict.GO, 0.0
        if placed.choice is None and progress.limited_upstreams:
            verdict = waiting.Verdict.REFUSE
            rejection = rejection or self._decisions.limit_rejection(progress)
        elif placed.choice is not None:
            wait_s = placed.choice.best.wait_s
            verdict = self._decisions.admission_verdict(progress, placed)
            if verdict is waiting.Verdict.REFUSE and rejection is None:
                rejection = self._decisions.overload_rejection(
                    progress, placed.choice
                )
        elif placed.verdict is placement_messages.Verdict.HELD:
            verdict = waiting.Verdict.HOLD
        else:
            wait_s = self._planner.pause_left_s(progress, service)
            verdict = self._decisions.pause_verdict(call, wait_s)
            if verdict is waiting.Verdict.REFUSE and rejection is None:
                rejection = self._decisions.pause_rejection(progress, wait_s)
        return Preview(
            placed,
            verdict,
            rejection,
            wait_s,
            progress.trial_of,
            frozenset(progress.limited_upstreams),
        )

    async def _preview_placed(
        self,
        progress: call_progress.Progress,
        service: str,
        ask_owner: placement_client.AskOwner,
    ) -> placement_client.Placed:
        """Chooses an upstream whose limit is not known to be too late."""
        placed = await self._placer.preview(progress, service, ask_owner)
        for _ in range(const.MAX_CLAIMS_REFUSED):
            choice = placed.choice
            if choice is None or self._allowances.is_unlimited(
                choice.best.upstream
            ):
                break
            if self._decisions.admission_verdict(progress, placed) is not (
                waiting.Verdict.GO
            ):
                break
            max_wait_s, _ = self._decisions.max_allowance_wait_s(
                progress.call, choice
            )
            if not self._decisions.exclude_late_upstreams(
                progress, choice, max_wait_s
            ):
                break
            placed = await self._placer.preview(progress, service, ask_owner)
        return placed
