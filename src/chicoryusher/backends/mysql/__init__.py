"""Back end for instances that speak the MySQL protocol."""

from __future__ import annotations

from chicoryusher.backends.mysql.conn import BackendUser
from chicoryusher.backends.mysql.link import MysqlLink

__all__ = ['BackendUser', 'MysqlLink']
