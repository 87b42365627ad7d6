"""The admin address, on which operators send their commands.

It owns the admin connections and imports only ``common``.
"""
