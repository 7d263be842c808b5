"""A server of one service that crashes when it begins to run a poisonous request.

It is a process of its own, so that its end is a real one: it has read the head and the
first bytes of the body when it ends. Arguments: its id, its port, and a file to which
it appends a line for each request that it begins to run.
"""

import os
import socket
import sys
import threading
import time

POISON = b"/poison"
FIRST_BYTES = 1024


def read_head(sock):
    """Return (head, first bytes of the body); the head is empty at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(FIRST_BYTES)
        if not part:
            return b"", b""
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    return head, rest


def serve(sock, id, record):
    """Serve the requests of one connection."""
    while True:
        head, rest = read_head(sock)
        if not head:
            return
        first, *lines = head.split(b"\r\n")
        fields = dict(line.split(b": ", 1) for line in lines)
        fields = {name.lower(): value for name, value in fields.items()}
        request_id = fields[b"request-id"].decode()
        echo = f"Request-Id: {request_id}\r\nKeep-Alive: timeout=30\r\n"
        target = first.split(b" ")[1]
        is_other = fields.get(b"expect-instance", id.encode()) != id.encode()
        if not is_other:
            record.write(
                f"{time.monotonic():.3f} {id} {request_id} {target.decode()}\n"
            )
            record.flush()
            if target.startswith(POISON):
                os._exit(70)
        left = int(fields.get(b"content-length", 0)) - len(rest)
        while left > 0:
            left -= len(sock.recv(65536))
        if is_other:
            head = f"HTTP/1.1 421 X\r\n{echo}Instance-Id: {id}\r\nNot-Run: 1\r\n"
        else:
            head = f"HTTP/1.1 200 X\r\n{echo}Server-Stamp: {id}.{request_id}\r\n"
        sock.sendall((head + "Content-Length: 2\r\n\r\nok").encode())


def main():
    """Accept connections until the process ends."""
    id, port, path = sys.argv[1], int(sys.argv[2]), sys.argv[3]
    record = open(path, "a")  # noqa: SIM115
    listener = socket.create_server(("127.0.0.1", port))
    print("ready", flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock, id, record), daemon=True).start()


main()
