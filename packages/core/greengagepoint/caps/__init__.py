"""Keep caps and region budgets: shares in a ledger, loans between hosts."""
