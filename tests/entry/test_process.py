"""Tests of an entry's standard output."""

import os

import testtools

from almondtide.entry.process import NonBlockingOutput


class NonBlockingOutputTest(testtools.TestCase):
    """Guards against a daemon that blocks because the reader of its log is blocked."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.output = NonBlockingOutput(self.writer)

    def test_lines_are_dropped_and_counted_while_the_pipe_is_full(self):
        line = "x" * 1000 + "\n"
        while not self.output.dropped:
            self.output.write(line)
        self.output.write(line)
        self.assertEqual(2, self.output.dropped)
        os.read(self.reader, 1 << 20)
        self.output.write("next\n")
        self.assertEqual(0, self.output.dropped)
        text = os.read(self.reader, 1 << 20).decode()
        self.assertEqual("event=lines_dropped count=2\nnext\n", text)
        os.close(self.writer)

    def test_a_closed_reader_is_no_error(self):
        os.close(self.writer)
        self.output.write("line\n")
        self.assertEqual(1, self.output.dropped)

    def test_close_keeps_the_descriptor_open(self):
        # The logging library closes its stream when the process exits.
        self.output.flush()
        self.output.close()
        self.output.write("line\n")
        self.assertEqual(b"line\n", os.read(self.reader, 100))
        os.close(self.writer)
