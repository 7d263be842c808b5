"""A small HTTP/1.1 reader and writer for the stand-ins, on asyncio streams."""

import asyncio

__all__ = ["Message", "read_message", "render"]

MAX_HEAD_BYTES = 1 << 20


class Message:
    """A request or a response: first line, headers in lower case, and body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self):
        """Target of a request, with its query."""
        return self.start.split(" ")[1]

    @property
    def status(self):
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader, has_body=True):
    """Return the next ``Message``, or None if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0], headers, body)


def render(start, headers, body=b""):
    """Return the bytes of a message with a stated length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
