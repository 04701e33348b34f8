"""Tasks on workers: sessions, leases, orders and inventories."""
