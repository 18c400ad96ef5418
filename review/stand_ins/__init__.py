"""Stand-ins for the platform, its engines, operator and consumers.

Only the standard library is used.  They follow the platform's pages and keep
a record of what was sent, answered and run.
"""
