"""Encodes the quarantine's evidence and entries for peers and the store."""

from collections.abc import Iterable, Mapping
import json

import result

from bergamotmill.helpers import json_text
from bergamotmill.proto import peer_pb2
from bergamotmill.routing import prompt_quarantine

# Part names in one message at most, so that it fits into one datagram.
MAX_PARTS_PER_MESSAGE = 32
# Largest number of trials in a message.
MAX_TRIALS = 2**32 - 1
_DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)


def encode_crash_report(
    sender: str,
    model: str,
    crash: prompt_quarantine.Crash,
    answers: Mapping[str, prompt_quarantine.Answers],
    abandoned: bool = False,
) -> list[peer_pb2.CrashReport]:
    """Returns messages that report a crash under some parts.

    Args:
        sender: name of this router.
        model: model of the prompts.
        crash: the replica that ended.
        answers: the parts, with the answers that this router has seen on them.
        abandoned: whether the attempts had been given up before.
    """
    items = sorted(answers.items())
    batches = [
        items[first : first + MAX_PARTS_PER_MESSAGE]
        for first in range(0, len(items), MAX_PARTS_PER_MESSAGE)
    ]
    return [
        peer_pb2.CrashReport(
            sender=sender,
            crash=_encode_crash(crash),
            model=model,
            parts=[name for name, _ in batch],
            answers=[_encode_count(item) for _, item in batch],
            abandoned=abandoned,
        )
        for batch in batches
    ]


def decode_crash(message: peer_pb2.Crash) -> prompt_quarantine.Crash:
    """Decodes the end of a replica."""
    return prompt_quarantine.Crash(message.replica, message.incarnation)


def encode_answers(
    sender: str,
    model: str,
    answers: Mapping[str, prompt_quarantine.Answers],
) -> peer_pb2.AnswersReport:
    """Returns a message with the answers seen on some parts, by name."""
    return peer_pb2.AnswersReport(
        sender=sender,
        model=model,
        parts=list(answers),
        answers=[_encode_count(item) for item in answers.values()],
    )


def decode_answers(
    message: peer_pb2.CrashReport | peer_pb2.AnswersReport,
) -> dict[str, prompt_quarantine.Answers]:
    """Decodes the answers that a peer has seen, by part."""
    return {
        name: prompt_quarantine.Answers(max(0, count - 1), count > 0)
        for name, count in zip(message.parts, message.answers, strict=False)
    }


def _encode_count(answers: prompt_quarantine.Answers) -> int:
    return answers.recent + 1 if answers.ever else 0


def encode_notice(
    sender: str, entry: prompt_quarantine.Entry, cleared: bool = False
) -> peer_pb2.QuarantineNotice:
    """Returns a message that an entry is in force, or no longer."""
    return peer_pb2.QuarantineNotice(
        sender=sender,
        model=entry.model,
        parts=sorted(entry.parts),
        customer=entry.customer,
        since_ms=entry.since_ms,
        crashes=[_encode_crash(crash) for crash in _sorted(entry.crashes)],
        contested=entry.contested,
        trials=entry.trials,
        next_trial_at=entry.next_trial_at,
        cleared=cleared,
    )


def decode_notice(
    message: peer_pb2.QuarantineNotice,
) -> prompt_quarantine.Entry:
    """Decodes the entry that a message is about."""
    return prompt_quarantine.Entry(
        message.model,
        frozenset(message.parts),
        message.customer,
        message.since_ms,
        frozenset(decode_crash(crash) for crash in message.crashes),
        message.contested,
        message.trials,
        message.next_trial_at,
    )


def encode_document(entry: prompt_quarantine.Entry) -> bytes:
    """Returns an entry as it is written to the store."""
    return json.dumps(
        {
            "model": entry.model,
            "parts": sorted(entry.parts),
            "customer": entry.customer,
            "since_ms": entry.since_ms,
            "crashes": [
                [crash.replica, crash.incarnation]
                for crash in _sorted(entry.crashes)
            ],
            "contested": entry.contested,
            "trials": entry.trials,
            "next_trial_at": entry.next_trial_at,
        }
    ).encode()


def decode_document(
    value: bytes,
) -> result.Result[prompt_quarantine.Entry, str]:
    """Decodes an entry that a router or an operator wrote to the store."""
    try:
        fields = json_text.loads(value)
        parts = frozenset(json_text.text(name) for name in fields["parts"])
        if not parts:
            raise ValueError("no parts")
        return result.Ok(
            prompt_quarantine.Entry(
                json_text.text(fields["model"]),
                parts,
                json_text.text(fields.get("customer", "")),
                json_text.count(fields["since_ms"]),
                frozenset(
                    prompt_quarantine.Crash(
                        json_text.text(replica), json_text.count(incarnation)
                    )
                    for replica, incarnation in fields.get("crashes", ())
                ),
                bool(fields.get("contested", False)),
                json_text.count(fields.get("trials", 0), MAX_TRIALS),
                json_text.finite(fields["next_trial_at"]),
            )
        )
    except _DECODE_ERRORS as err:
        return result.Err(repr(err))


def _encode_crash(crash: prompt_quarantine.Crash) -> peer_pb2.Crash:
    return peer_pb2.Crash(replica=crash.replica, incarnation=crash.incarnation)


def _sorted(
    crashes: Iterable[prompt_quarantine.Crash],
) -> list[prompt_quarantine.Crash]:
    return sorted(crashes, key=lambda item: (item.incarnation, item.replica))
