"""The admin address, to which operators send admin commands.

It owns the admin connections and imports only ``common``.
"""
