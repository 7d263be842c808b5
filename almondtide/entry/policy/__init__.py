"""The decisions of the entry: what waits, what is refused, and which server is used.

Each module holds one decision and names the load pattern that it answers. They have no
I/O, and import neither the modules that hold state nor those that talk to others. So
the replays in ``bench`` and the tests play each of them with any load.
"""
