"""Tests with real processes that are killed and stopped, over real sockets."""

import contextlib
import io
import json
import signal
import threading
import time
import unittest
from unittest import mock
import uuid

import openai

from bergamotmill.cli import main as cli
from tests import processes


class ProcessesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = processes.LocalCluster()
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start()

    def client(self, index=0, key="key"):
        address = self.cluster.routers[index]["front"]
        return openai.OpenAI(
            base_url=f"http://{address}/v1", api_key=key, max_retries=0
        )

    def expected_text(self, tokens):
        return "".join(f"t{index} " for index in range(tokens))

    def stream(self, tokens, index=0, on_first_chunk=None):
        text = ""
        for chunk in self.client(index).chat.completions.create(
            model="m",
            messages=[{"role": "user", "content": "hello " * 2000}],
            max_tokens=tokens,
            stream=True,
        ):
            for choice in chunk.choices:
                text += choice.delta.content or ""
            if on_first_chunk is not None:
                on_first_chunk()
                on_first_chunk = None
        return text

    def test_openai_client_works_with_only_the_base_url_changed(self):
        client = self.client()
        completion = client.chat.completions.create(
            model="m",
            messages=[{"role": "user", "content": "hello"}],
            max_tokens=5,
        )
        self.assertEqual(
            completion.choices[0].message.content, self.expected_text(5)
        )
        self.assertEqual(completion.usage.completion_tokens, 5)
        self.assertEqual(self.stream(6), self.expected_text(6))
        text = client.completions.create(model="m", prompt="x", max_tokens=3)
        self.assertEqual(text.choices[0].text, self.expected_text(3))
        chunks = client.completions.create(
            model="m", prompt="x", max_tokens=3, stream=True
        )
        streamed = "".join(c.text for chunk in chunks for c in chunk.choices)
        self.assertEqual(streamed, self.expected_text(3))
        self.assertEqual([item.id for item in client.models.list()], ["m"])

    def test_errors_raise_the_openai_client_exceptions(self):
        with self.assertRaises(openai.AuthenticationError):
            self.client(key="wrong").models.list()
        with self.assertRaises(openai.NotFoundError):
            self.client().chat.completions.create(
                model="nope", messages=[{"role": "user", "content": "x"}]
            )
        with self.assertRaises(openai.BadRequestError) as caught:
            self.client().chat.completions.create(model="m", messages=[])
        self.assertEqual(caught.exception.param, "messages")

    def test_stream_continues_after_engine_is_killed(self):
        killed = []

        def kill():
            busy = self.busy_engine()
            killed.append(busy)
            self.cluster.kill(f"engine-{busy}")

        try:
            self.assertEqual(self.stream(40, 0, kill), self.expected_text(40))
        finally:
            for index in killed:
                address = self.cluster.engines[index]
                self.cluster.start_engine(index, address)
            self.cluster.wait_until(self.cluster.routers_see_fleet, "engines")

    def test_stream_continues_after_engine_stops_responding(self):
        stopped = []

        def stop():
            busy = self.busy_engine()
            stopped.append(busy)
            self.cluster.signal(f"engine-{busy}", signal.SIGSTOP)

        try:
            self.assertEqual(self.stream(40, 0, stop), self.expected_text(40))
        finally:
            for index in stopped:
                self.cluster.signal(f"engine-{index}", signal.SIGCONT)

    def busy_engine(self):
        for index, address in enumerate(self.cluster.engines):
            _, report = self.cluster.http(address, "/v1/report")
            if report.get("running"):
                return index
        raise AssertionError("no engine is busy")

    def test_filing_through_another_router_and_after_its_owner_was_killed(self):
        owner = self.cluster.routers[1]["front"]
        _, body = self.cluster.http(owner, "/v1/addresses")
        key = body["filing_token"] + ".f1"
        headers = [("idempotency-key", key)]
        target = "/services/registry/records"
        first = self.cluster.routers[0]["front"]
        results = [
            self.cluster.http(address, target, "key", b"{}", headers)
            for address in (first, owner, first)
        ]
        self.assertEqual([status for status, _ in results], [201] * 3)
        self.assertEqual(results[0], results[2])
        self.cluster.kill("vm-1")
        # The stored outcome is available after its router was killed.
        repeated = self.cluster.http(first, target, "key", b"{}", headers)
        self.assertEqual(repeated, results[0])
        self.cluster.start_router(1)
        self.cluster.wait_until(lambda: self.cluster.is_ready(1), "ready")
        self.cluster.wait_until(self.cluster.routers_see_fleet, "members")
        repeated = self.cluster.http(owner, target, "key", b"{}", headers)
        self.assertEqual(repeated, results[0])
        headers = [("idempotency-key", key + "-new")]
        status, body = self.cluster.http(owner, target, "key", b"{}", headers)
        self.assertEqual(body["error"]["code"], "outcome_unknown")
        self.assertEqual(status, 502)

    def send_filing(self, index, key, deadline_ms=3000):
        return self.cluster.http(
            self.cluster.routers[index]["front"],
            "/services/registry/records",
            "key",
            b"{}",
            [
                ("idempotency-key", key),
                ("x-deadline-ms", str(deadline_ms)),
            ],
        )

    def filing_token(self, index):
        front = self.cluster.routers[index]["front"]
        return self.cluster.http(front, "/v1/addresses")[1]["filing_token"]

    def unbound_key(self, number):
        """Returns a key that is not bound to a router."""
        bits = int(time.time() * 1000) << 80 | 7 << 76 | 2 << 62 | number
        return str(uuid.UUID(int=bits))

    def test_filings_while_the_key_value_service_is_stopped(self):
        self.cluster.signal("key-value", signal.SIGSTOP)
        try:
            self.assertEqual(self.stream(5), self.expected_text(5))
            status, _ = self.send_filing(0, self.filing_token(0) + ".kv")
            self.assertEqual(status, 201)
            status, body = self.send_filing(0, self.unbound_key(1), 8000)
            self.assertEqual((status, body["error"]["run"]), (503, "not_run"))
        finally:
            self.cluster.signal("key-value", signal.SIGCONT)
        self.cluster.wait_until(
            lambda: self.send_filing(0, self.unbound_key(2))[0] == 201,
            "a claim",
        )

    def test_filing_whose_owner_is_stopped_and_resumed(self):
        key = self.filing_token(1) + ".peer"
        self.cluster.signal("vm-1", signal.SIGSTOP)
        try:
            status, body = self.send_filing(0, key)
            self.assertEqual(body["error"]["code"], "outcome_unknown")
            stopped = self.cluster.routers[1]["front"]
            self.cluster.wait_until(
                lambda: stopped not in self.addresses(0),
                "removal from the addresses",
            )
        finally:
            self.cluster.signal("vm-1", signal.SIGCONT)
        # The owner received the filing too late to send it, or it ran once.
        answers = [self.send_filing(1, key), self.send_filing(0, key)]
        self.assertIn(answers[0][0], (201, 502))
        self.cluster.wait_until(self.cluster.routers_see_fleet, "members")

    def addresses(self, index):
        front = self.cluster.routers[index]["front"]
        return self.cluster.http(front, "/v1/addresses")[1]["addresses"]

    def test_service_stopped_during_a_call_leaves_the_outcome_unknown(self):
        key = self.filing_token(0) + ".service"
        self.cluster.signal("service", signal.SIGSTOP)
        try:
            status, body = self.send_filing(0, key, 2000)
            self.assertEqual(status, 202)
            self.assertEqual(body["error"]["run"], "unknown")
        finally:
            self.cluster.signal("service", signal.SIGCONT)
        self.cluster.wait_until(
            lambda: self.send_filing(1, key)[0] == 201, "the outcome"
        )

    def test_graceful_shutdown_completes_streams_and_exits_with_0(self):
        result = []
        started = threading.Event()
        thread = threading.Thread(
            target=lambda: result.append(self.stream(60, 1, started.set))
        )
        thread.start()
        started.wait(20)
        process = self.cluster.processes["vm-1"]
        process.send_signal(signal.SIGTERM)
        thread.join(30)
        self.assertEqual(result, [self.expected_text(60)])
        self.assertEqual(process.wait(30), 0)
        self.cluster.processes.pop("vm-1")
        self.cluster.start_router(1)
        self.cluster.wait_until(lambda: self.cluster.is_ready(1), "ready")
        self.cluster.wait_until(self.cluster.routers_see_fleet, "members")

    def test_second_signal_exits_at_once(self):
        started = threading.Event()

        def read_stream():
            try:
                self.stream(400, 1, started.set)
            except openai.APIError:
                pass
            except Exception:
                pass

        thread = threading.Thread(target=read_stream)
        thread.start()
        started.wait(20)
        process = self.cluster.processes.pop("vm-1")
        process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(30), 1)
        thread.join(30)
        self.cluster.start_router(1)
        self.cluster.wait_until(lambda: self.cluster.is_ready(1), "ready")
        self.cluster.wait_until(self.cluster.routers_see_fleet, "members")

    def test_operator_commands_and_their_exit_status(self):
        address = self.cluster.routers[0]["operators"]
        settings = self.cluster.folder / "vm-0.json"
        with contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(cli.main(["check", str(settings)]), 0)
        note = self.cluster.folder / "note.json"
        note.write_text(json.dumps({"title": "x", "changed": {"modls": {}}}))
        output = io.StringIO()
        with (
            mock.patch.dict("os.environ", {cli.ENV_KEY: "operator"}),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            base = ["--address", address]
            for command, status in (
                (["status"], 0),
                (["status", "--json"], 0),
                (["audit"], 0),
                (["release", "show"], 0),
                (["release", "check", str(note)], 1),
                (["release", "publish", str(note), "--json"], 1),
                (["explain", "nothing"], 1),
            ):
                self.assertEqual(cli.main([*command, *base]), status, command)
            unreachable = ["status", "--address", "127.0.0.1:1"]
            self.assertEqual(cli.main(unreachable), 3)


if __name__ == "__main__":
    unittest.main()
