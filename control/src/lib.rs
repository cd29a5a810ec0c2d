//! Configuration, plans and their agreement through the key-value service.
