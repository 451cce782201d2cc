"""Messages between banyanshelf daemons and their Thrift codec."""
