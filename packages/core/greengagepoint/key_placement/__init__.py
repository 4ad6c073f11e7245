"""Place keys on backend servers so that each server has the same load of keys."""
