"""Jobs from submission to completion, stored in ledgers."""
