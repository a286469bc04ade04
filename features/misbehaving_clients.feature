@alone
Feature: Clients that do not behave neither end nor hang an entry

  Scenario Outline: <count> clients that <shape>
    Given an entry process on a machine of 80 MB and 2000 files
    When <count> clients <shape> and stay connected
    Then the process lives within its memory and its files
    And an ordinary request of another client is answered
    When the clients close their connections
    Then an ordinary request of another client is answered
    And the process lives within its memory and its files

    Examples: heads
      | count | shape                                            |
      | 900   | send one byte                                    |
      | 900   | send heads of short lines that do not end        |
      | 900   | send heads of folded lines that do not end       |
      | 900   | send heads of connection options that do not end |

    Examples: bodies
      | count | shape                                              |
      | 900   | send short lines and all but the end of a body     |
      | 900   | send longer lines and all but the end of a body    |
      | 400   | send all but the end of a long body                |
      | 400   | send all but the end of a body in chunks           |
      | 400   | send all but the end of a body in chunks of a byte |

    Examples: requests ahead
      | count | shape                                    |
      | 400   | send requests ahead                      |
      | 400   | send requests without an ID ahead        |
      | 400   | send bare requests ahead                 |
      | 400   | send requests of short lines ahead       |
      | 400   | send requests of long paths ahead        |
      | 400   | send requests of many prompt parts ahead |

    Examples: more clients than connections
      | count | shape                               |
      | 1300  | send one byte                       |
      | 1300  | send all but the end of a long body |

  Scenario: chunks of a byte of many clients keep the processor from no other
    Given an entry process on a machine of 300 MB and 4200 files
    When 1800 clients send all but the end of a body in chunks of a byte and stay connected
    Then an ordinary request of another client is answered
    When the clients close their connections
    Then an ordinary request of another client is answered
    And the process lives within its memory and its files

  Scenario: 400 clients that leave a long answer unread
    Given an entry process on a machine of 80 MB and 2000 files
    And a service whose answers have 300 KiB
    When 400 clients leave a long answer unread and stay connected
    Then an ordinary request of another client is answered
    When the clients close their connections
    Then an ordinary request of another client is answered
    And the process lives within its memory and its files

  Scenario Outline: clients that <shape> at the <listener> listener
    Given an entry process on a machine of 80 MB and 2000 files
    When 400 clients <shape> at the <listener> listener
    Then an ordinary request for <path> is answered there
    And an ordinary request of another client is answered
    And the process lives within its memory and its files

    Examples:
      | listener  | path     | shape               |
      | readiness | /readyz  | send one byte       |
      | metrics   | /metrics | send one byte       |
      | exchange  | /fleet?0 | send one byte       |
      | readiness | /readyz  | send requests ahead |

  Scenario Outline: <count> clients that <shape>, at an entry with agents
    Given an entry with agents that has 500 files, and 16 MiB for bodies
    When <count> clients <shape>, at the entry with agents
    Then an ordinary request to the entry with agents is answered
    When the clients close their connections
    Then an ordinary request to the entry with agents is answered
    And the entry with agents lives within 120 MB

    Examples:
      | count | shape                                            |
      | 600   | send one byte                                    |
      | 200   | send heads of short lines to a service           |
      | 600   | send all but the end of a long body to a service |
      | 600   | send requests without an ID ahead                |
      | 600   | send bare requests ahead                         |

  Scenario Outline: one request of <count> <kind> is served in calm
    Given an entry process on a machine of 80 MB and 2000 files
    When a client sends a request of <count> <kind>
    Then it is answered with 200

    Examples:
      | count   | kind             |
      | 100     | short lines      |
      | 240     | short lines      |
      | 260     | short lines      |
      | 1000    | short lines      |
      | 2700    | short lines      |
      | 4000    | empty lines      |
      | 16000   | bytes in a line  |
      | 4194304 | bytes in a body  |
      | 256     | chunks of 16 KiB |
      | 200000  | chunks of a byte |
      | 2000    | prompt parts     |

  Scenario Outline: the refusal of a request without an ID ends its connection in order
    Given an entry process on a machine of 80 MB and 2000 files
    When a client sends a request without an ID and <count> bytes behind it
    Then it is answered with 400
    And the entry logs no crash

    Examples:
      | count  |
      | 0      |
      | 300000 |
