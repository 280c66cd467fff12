import unittest

import hypothesis
from hypothesis import strategies

from bergamotmill.streams import assemble
from bergamotmill.streams import events
from bergamotmill.streams import stream_id


class EventsTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 10**9), max_size=12),
        strategies.data(),
    )
    def test_splits_events_at_any_chunk_boundaries(self, values, data):
        expected = [events.encode({"v": value}) for value in values]
        remaining = b"".join(expected)
        splitter = events.EventSplitter()
        actual = []
        while remaining:
            size = data.draw(strategies.integers(1, len(remaining)))
            actual += splitter.feed(remaining[:size])
            remaining = remaining[size:]
        self.assertEqual(actual, expected)
        self.assertFalse(splitter.partial)

    def test_assembles_text_tools_and_usage(self):
        def chunk(delta, **extra):
            choice = {"index": 0, "delta": delta, "finish_reason": None}
            choice.update(extra)
            return events.encode(
                {
                    "id": "x",
                    "object": "chat.completion.chunk",
                    "choices": [choice],
                }
            )

        call = {"index": 0, "id": "c", "function": {"name": "f"}}
        arguments = {"index": 0, "function": {"arguments": "{}"}}
        raw = [
            chunk({"role": "assistant", "content": "a"}),
            chunk({"content": "b"}),
            chunk({"tool_calls": [call]}),
            chunk({"tool_calls": [arguments]}, finish_reason="stop"),
            events.encode({"choices": [], "usage": {"total_tokens": 3}}),
            b"data: [DONE]\n\n",
        ]
        response = assemble.assemble(raw)
        message = response["choices"][0]["message"]
        self.assertEqual(message["content"], "ab")
        function = message["tool_calls"][0]["function"]
        self.assertEqual(function, {"name": "f", "arguments": "{}"})
        self.assertEqual(response["object"], "chat.completion")
        self.assertEqual(response["usage"]["total_tokens"], 3)
        self.assertTrue(assemble.has_finish_reason(raw))


class StreamIdTest(unittest.TestCase):
    def test_is_bound_to_customer_and_fleet(self):
        location = stream_id.StreamId("r", "vm-1", 5, "engine-1", 7, "v1", 3)
        event_id = location.token("key", "one") + ":12"
        self.assertEqual(
            stream_id.parse(event_id, "key", "one"), (location, 12)
        )
        self.assertIsNone(stream_id.parse(event_id, "key", "two"))
        self.assertIsNone(stream_id.parse(event_id, "other", "one"))

    @hypothesis.given(strategies.text(max_size=60))
    def test_rejects_arbitrary_text(self, text):
        self.assertIsNone(stream_id.parse(text, "key", "one"))


if __name__ == "__main__":
    unittest.main()
