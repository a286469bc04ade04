"""Documents of the operators: acceptance, distribution and reads.

================= ========================================================
module            contents
================= ========================================================
``documents``     the configuration in force, with lookups
``acceptance``    which of two document versions is newer
``dissemination`` which document is requested from or sent to which peer
``readers``       which process reads the platform, and when
================= ========================================================
"""
