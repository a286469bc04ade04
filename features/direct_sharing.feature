Feature: Entries that cannot reach the store learn the fleet from peers

  Scenario: a new entry that cannot reach the store serves with the view of a peer
    Given an entry before 3 app servers and 1 llm servers that shares its view
    And the second entry cannot reach the store
    When a second entry starts that knows the first
    Then it becomes ready within 3 seconds
    And 30 reads at the second entry are all answered
    And an unknown route at the second entry is answered 404
    And event E625 is logged

  Scenario: an entry that lost the store follows changes through a peer
    Given an entry before 3 app servers and 1 llm servers that shares its view
    And a second entry that knows the first
    When the second entry cannot reach the store
    And app server 1 drains
    And a route is added and credentials are changed
    Then the second entry serves the added route with the new credential within 4 seconds
    And app server 1 receives none of 30 reads at the second entry
    When the second entry can reach the store again
    Then event E622 is logged within 5 seconds
    And app server 1 receives none of 30 reads at the second entry

  Scenario: entries that all lost the store answer 503 for what may be newer than their view
    Given an entry before 3 app servers and 1 llm servers that shares its view
    And a second entry that knows the first
    When the second entry cannot reach the store
    And the store is silent for 6.0 seconds
    Then an unknown route at the second entry is answered 503
    And 30 reads at the second entry are all answered

  Scenario Outline: a faulty peer is skipped, and the entry keeps running
    Given an entry before 3 app servers and 1 llm servers that shares its view
    And the second entry cannot reach the store
    When a second entry starts that knows a peer which <fault>
    Then event E626 is logged before the second entry calls the store more than 2 times
    And the second entry is not ready
    When the second entry can reach the store again
    Then it becomes ready within 5 seconds

    Examples:
      | fault             |
      | is not running    |
      | sends bad bytes   |
      | sends another map |
      | refuses           |
      | cuts its answer   |

  Scenario Outline: an invalid query is refused
    Given an entry before 3 app servers and 1 llm servers that shares its view
    When the first entry is queried for <page>
    Then it answers with <status>

    Examples:
      | page                          | status |
      | /fleet?0                      | 200    |
      | /fleet?                       | 400    |
      | /fleet?-1                     | 400    |
      | /fleet?9999999999999999999999 | 400    |
      | /metrics                      | 404    |

  Scenario: the view of a peer is not undone by older changes of the store
    Given a dispatcher before 2 plain targets
    When the store is lost
    And a peer at revision 9 reports that the first target drains and zone-b is evacuated
    Then the first target receives nothing for 0.4 seconds
    When the store reports the first target's record at revision 5 and zone-b's return at revision 6
    Then the first target receives nothing for 0.4 seconds
    And zone-b is still evacuated
    When the store reports the first target's record at revision 10 and zone-b's return at revision 11
    Then the first target receives requests again
    And zone-b is no longer evacuated

  Scenario: a peer that was far ahead delays changes of the store only briefly
    Given a dispatcher before 2 plain targets
    When the store is lost
    And a peer at revision 900 reports that the first target drains and zone-b is evacuated
    And the store is reachable
    And 6 seconds pass
    And the store reports the first target's record at revision 5 and zone-b's return at revision 6
    Then the first target receives requests again
    And zone-b is no longer evacuated

  Scenario Outline: the view of a peer is ignored if it is older or the store is reachable
    Given a dispatcher before 2 plain targets
    When the store is <state>
    And a peer at revision <revision> reports that the first target drains and zone-b is evacuated
    Then nothing was learned

    Examples:
      | state     | revision |
      | lost      | 1        |
      | lost      | 0        |
      | reachable | 9        |

  Scenario: a configuration from a peer never replaces a newer one
    Given a dispatcher before 2 plain targets
    And the store has sent version 7
    When the store is lost
    And a peer at revision 9 sends version 6
    Then version 7 is in force

  Scenario: the age of a view counts from the store's last answer to the peer
    Given a dispatcher before 2 plain targets
    When the store is lost
    And 10 seconds pass
    Then an unknown route is refused as "configuration_stale"
    When a peer that the store answered 400 ms ago reports no change
    Then an unknown route is refused as "route_unknown"
    And 3 seconds later it is refused as "configuration_stale"

  Scenario: a view ages while the machine is suspended
    Given a dispatcher before 2 plain targets
    And the clock of a machine that was suspended for 5 seconds
    When the store answered just before
    Then an unknown route is refused as "configuration_stale"

  Scenario: busy entries discover each other through a seed
    Given an entry before 3 app servers and 1 llm servers that shares its view
    When two more entries start that know the first, and callers keep all of them busy
    Then the two know each other within 4 seconds

  Scenario: a target that another entry is about to drop never stays at a fresh one
    Given an entry without its source that heard of a target's removal
    When a fresh entry learns its view
    Then the fresh entry does not know that target
