"""Jobs from their submission to their end, kept in ledgers."""
