"""The operators' documents: what is in force, and how processes learn of it.

================= ========================================================
module            what it decides
================= ========================================================
``documents``     what is in force, with lookups
``acceptance``    which of two documents is newer
``dissemination`` which document goes to which peer
``readers``       which process reads the platform, and when
================= ========================================================
"""
