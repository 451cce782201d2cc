"""At-most-once execution of calls with an idempotency key.

A claim is the right to run the call of one key. Claims are kept in shards in the store;
each shard has one owner at a time, and a head record with an epoch fences former ones.
"""
