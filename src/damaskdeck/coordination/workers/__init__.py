"""What runs on workers: sessions, leases, orders, inventories."""
