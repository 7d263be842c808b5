"""Tests of addresses."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from almondtide.addresses import format_address, parse_address


class ParseAddressTest(testtools.TestCase):
    """Guards against invalid addresses that would fail only in a socket call."""

    @given(st.text(max_size=30) | st.from_regex(r"[0-9a-z.:]{0,12}:[0-9]{0,7}"))
    def test_any_text(self, text):
        try:
            host, port = parse_address(text)
        except ValueError:
            return
        self.assertTrue(0 <= port <= 65535)
        self.assertTrue(host.isascii() and host.isprintable(), host)
        self.assertNotIn(" ", host)
        self.assertEqual((host, port), parse_address(format_address((host, port))))

    def test_examples(self):
        self.assertEqual(("10.0.0.1", 80), parse_address("10.0.0.1:80"))
        for text in ("", ":80", "h", "h:", "h:x", "h:65536", "h:²", "h:٣", "a b:1"):
            self.assertRaises(ValueError, parse_address, text)
