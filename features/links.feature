Feature: Links of an entry

  Scenario: an entry links to all instances of a small service
    When 20 entries choose subsets of 48 among 16 instances in 3 zones
    Then each entry has 16 instances

  Scenario: an entry links to a subset of a large service, balanced over the zones
    When 200 entries choose subsets of 48 among 1000 instances in 3 zones
    Then each entry has 48 instances
    And each entry has 16 instances of each zone
    And at most 1 in 100 instances is in no subset
    And a second choice is the same

  Scenario: the removal of an instance changes at most one link of an entry
    When an instance is removed from a service of 1000 instances
    Then each of 50 entries replaces at most 1 instance

  Scenario: the home of a key outside the subset is linked until the link is idle
    Given an entry with a subset of 6 among 30 instances
    When a link to the home of a key outside its subset is demanded
    Then it is linked after 59 seconds
    And it is not linked after 61 seconds

  Scenario: a keyed request reaches its home outside the subset
    Given a fleet whose entries have subsets of 1 instance
    When 6 callers book lots through every entry
    Then every caller has a whole answer
    And every lot was booked exactly once

  Scenario: heartbeat intervals and timeouts grow to stay within the budget
    Then 16 links within 65536 bytes a second send a heartbeat each 500 ms
    And 48 links within 1024 bytes a second send a heartbeat each 11718 ms
    And an entry that announced 11718 ms is not unresponsive after 40 seconds

  Scenario: a heartbeat and its hint are small
    Then a heartbeat and its hint take at most 150 bytes together
    And a message without its last field is still decoded
